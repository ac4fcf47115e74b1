/** Event streams from the model engine stand-in to its clients. */
import type {ServerResponse} from 'node:http';
import type {EngineChunk} from '../protocol/engineApi.js';

/** Faults of one stream. */
export interface StreamFaults {
  /** Whether each chunk is sent twice. */
  isDuplicated: boolean;
  /** Number of chunks after which the stream ends without `[DONE]`. */
  cutAfterChunks: number;
}

/** Why a stream ended before its answer was complete. */
export enum EarlyEndCause {
  ClosedByClient = 'closedByClient',
  CutByFault = 'cutByFault',
}

export interface EngineStreamOptions {
  response: ServerResponse;
  requestId: string;
  faults: StreamFaults;
  /** Returns the current delay of events in milliseconds. */
  getDelayMs(): number;
  /** Called once when the stream ends early. */
  stop(cause: EarlyEndCause): void;
}

interface DelayedAction {
  dueMs: number;
  run(): void;
}

/** Sends server-sent events on one connection. */
export class EngineStream {
  private readonly response: ServerResponse;
  private readonly delayedActions: DelayedAction[] = [];
  private timer: NodeJS.Timeout | undefined;
  private chunks = 0;
  private hasEnded = false;

  constructor(private readonly options: EngineStreamOptions) {
    const {response, requestId} = options;
    this.response = response;
    response.writeHead(200, {
      'content-type': 'text/event-stream',
      'cache-control': 'no-cache',
      'x-request-id': requestId,
    });
    response.flushHeaders();
    response.once('close', () => {
      clearTimeout(this.timer);
      if (this.hasEnded) return;
      this.hasEnded = true;
      options.stop(EarlyEndCause.ClosedByClient);
    });
  }

  /** Sends a chunk, or ends the stream if it is to be cut here. */
  send(chunk: EngineChunk): void {
    if (this.hasEnded) return;
    const {isDuplicated, cutAfterChunks} = this.options.faults;
    if (this.chunks >= cutAfterChunks) {
      this.end(false);
      this.options.stop(EarlyEndCause.CutByFault);
      return;
    }
    this.chunks += 1;
    const event = `data: ${JSON.stringify(chunk)}\n\n`;
    this.scheduleAction(() =>
      this.response.write(isDuplicated ? event + event : event),
    );
  }

  /** Ends the stream; `[DONE]` is sent only if `isComplete` is set. */
  end(isComplete: boolean): void {
    if (this.hasEnded) return;
    this.hasEnded = true;
    const isCut = this.chunks >= this.options.faults.cutAfterChunks;
    const isDone = isComplete && !isCut;
    this.scheduleAction(() =>
      this.response.end(isDone ? 'data: [DONE]\n\n' : undefined),
    );
  }

  /** Runs an action after the current delay and after all earlier actions. */
  private scheduleAction(run: () => void): void {
    const dueMs = performance.now() + this.options.getDelayMs();
    this.delayedActions.push({dueMs, run});
    if (this.delayedActions.length === 1) this.runDueActions();
  }

  private runDueActions(): void {
    while (this.delayedActions.length > 0) {
      const waitMs = this.delayedActions[0].dueMs - performance.now();
      if (waitMs > 0) {
        this.timer = setTimeout(() => this.runDueActions(), waitMs);
        return;
      }
      this.delayedActions.shift()?.run();
    }
  }
}
