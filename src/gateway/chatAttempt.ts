/** One attempt of a chat request on a leased slot. */
import {AttemptTimes} from './attemptTimes.js';
import type {ChatRequest} from '../protocol/callerApi.js';
import type {EngineChunk} from '../protocol/engineApi.js';
import type {EngineConnections} from './engineConnections.js';
import {sendPriority} from './enginePriority.js';
import {runAttempt, type AttemptEnd} from './engineStream.js';
import type {Lease} from './lease.js';
import type {OutcomeTracker} from './outcomeTracker.js';
import {computeRemainingMs, type RequestContext} from './requestContext.js';
import {computeTokenTimeouts} from './sessionRules.js';

/** An explicit reason avoids the stack capture of a default AbortError. */
const attemptAbortReason = 'the attempt is over';

export interface ChatAttemptOptions {
  context: RequestContext;
  request: ChatRequest;
  lease: Lease;
  /** Number of the attempt within its request, from 1. */
  number: number;
  /** Number of tokens that the caller already has. */
  resumeFrom: number;
  connections: EngineConnections;
  /** True to use a new connection instead of a pooled one. */
  useNewConnection: boolean;
  tracker: OutcomeTracker;
  /** Aborts the attempt when its session ends early. */
  signal: AbortSignal;
  /** Handles a chunk of this attempt; resolving to false ends the attempt. */
  onChunk: (attempt: ChatAttempt, chunk: EngineChunk) => Promise<boolean>;
  /** Called for a token that was generated again after it had been relayed. */
  onRepeatedToken: () => void;
}

/** Runs an attempt and keeps its lease and token times. */
export class ChatAttempt {
  readonly times = new AttemptTimes();
  private readonly abortController = new AbortController();

  constructor(private readonly options: ChatAttemptOptions) {}

  get lease(): Lease {
    return this.options.lease;
  }

  /** Sends the request and relays its chunks. */
  async run(): Promise<AttemptEnd> {
    const {context, request, lease, connections, signal} = this.options;
    const attemptId = `${context.requestId}.${this.options.number}`;
    const abort = () => this.abort();
    if (signal.aborted) abort();
    signal.addEventListener('abort', abort);
    lease.onPriority = priority => {
      void sendPriority(connections, lease.address, attemptId, priority);
    };
    try {
      return await runAttempt({
        attemptId,
        request,
        priority: lease.priority,
        resumeFrom: this.options.resumeFrom,
        deadlineMs: computeRemainingMs(context),
        getTokenTimeouts: () => computeTokenTimeouts(context, lease),
        connection: this.options.useNewConnection
          ? connections.openNew(lease.address)
          : connections.open(lease.address),
        tracker: this.options.tracker,
        signal: this.abortController.signal,
        onChunk: chunk => this.handleChunk(chunk),
        onRepeatedToken: this.options.onRepeatedToken,
      });
    } finally {
      lease.onPriority = undefined;
      signal.removeEventListener('abort', abort);
    }
  }

  /** Aborts the attempt and closes its connection. */
  abort(): void {
    this.abortController.abort(attemptAbortReason);
  }

  private handleChunk(chunk: EngineChunk): Promise<boolean> {
    this.times.noteToken();
    return this.options.onChunk(this, chunk);
  }
}
