/** Streams of the model engine stand-in to its clients. */
import type {ServerResponse} from 'node:http';
import type {EngineChunk} from '../protocol/engineApi.js';

/** Faults of one stream. */
export interface StreamFaults {
  /** Whether each chunk is sent twice. */
  isDuplicated: boolean;
  /** Chunks after which the stream ends without `[DONE]`. */
  cutAfterChunks: number;
}

/** Why a stream ended before its answer did. */
export enum StreamEnd {
  ClosedByClient = 'closedByClient',
  CutByFault = 'cutByFault',
}

export interface EngineStreamOptions {
  response: ServerResponse;
  requestId: string;
  faults: StreamFaults;
  /** Returns the time that events are held back in milliseconds. */
  getDelayMs(): number;
  /** Called once when the stream ends early. */
  stop(cause: StreamEnd): void;
}

interface DelayedAction {
  dueMs: number;
  run(): void;
}

/** Server-sent events on one connection. */
export class EngineStream {
  private readonly response: ServerResponse;
  private readonly delayed: DelayedAction[] = [];
  private timer: NodeJS.Timeout | undefined;
  private chunks = 0;
  private ended = false;

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
      if (this.ended) return;
      this.ended = true;
      options.stop(StreamEnd.ClosedByClient);
    });
  }

  /** Sends a chunk. */
  send(chunk: EngineChunk): void {
    if (this.ended) return;
    const {isDuplicated, cutAfterChunks} = this.options.faults;
    if (this.chunks >= cutAfterChunks) {
      this.end(false);
      this.options.stop(StreamEnd.CutByFault);
      return;
    }
    this.chunks += 1;
    const event = `data: ${JSON.stringify(chunk)}\n\n`;
    this.runLater(() =>
      this.response.write(isDuplicated ? event + event : event),
    );
  }

  /** Ends the answer; without `isComplete` the `[DONE]` event is left out. */
  end(isComplete: boolean): void {
    if (this.ended) return;
    this.ended = true;
    const isCut = this.chunks >= this.options.faults.cutAfterChunks;
    const isDone = isComplete && !isCut;
    this.runLater(() =>
      this.response.end(isDone ? 'data: [DONE]\n\n' : undefined),
    );
  }

  /** Runs an action after the delay, and after all earlier actions. */
  private runLater(run: () => void): void {
    const dueMs = performance.now() + this.options.getDelayMs();
    this.delayed.push({dueMs, run});
    if (this.delayed.length === 1) this.runDue();
  }

  private runDue(): void {
    while (this.delayed.length > 0) {
      const waitMs = this.delayed[0].dueMs - performance.now();
      if (waitMs > 0) {
        this.timer = setTimeout(() => this.runDue(), waitMs);
        return;
      }
      this.delayed.shift()?.run();
    }
  }
}
