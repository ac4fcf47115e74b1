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
import {computeLimits} from './sessionRules.js';

/** A reason of its own saves the stack trace of the default reason. */
const attemptIsOver = 'the attempt is over';

export interface ChatAttemptOptions {
  context: RequestContext;
  request: ChatRequest;
  lease: Lease;
  /** Number of the attempt within its request, from 1. */
  number: number;
  /** Tokens that the caller already holds. */
  resumeFrom: number;
  connections: EngineConnections;
  /** True: use a connection that no request has used before. */
  fresh: boolean;
  tracker: OutcomeTracker;
  /** Ends the attempt together with its session. */
  signal: AbortSignal;
  /** Takes a chunk of this attempt; false ends it. */
  take: (attempt: ChatAttempt, chunk: EngineChunk) => Promise<boolean>;
  /** A token that was passed on before was generated again. */
  noteRepeated: () => void;
}

/** Runs an attempt and keeps what it measured. */
export class ChatAttempt {
  readonly times = new AttemptTimes();
  private readonly abortController = new AbortController();

  constructor(private readonly options: ChatAttemptOptions) {}

  get lease(): Lease {
    return this.options.lease;
  }

  /** Sends the request and passes its chunks on. */
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
        getLimits: () => computeLimits(context, lease),
        connection: this.options.fresh
          ? connections.openFresh(lease.address)
          : connections.open(lease.address),
        tracker: this.options.tracker,
        signal: this.abortController.signal,
        take: chunk => this.take(chunk),
        noteRepeated: this.options.noteRepeated,
      });
    } finally {
      lease.onPriority = undefined;
      signal.removeEventListener('abort', abort);
    }
  }

  /** Gives the attempt up and closes its connection. */
  abort(): void {
    this.abortController.abort(attemptIsOver);
  }

  private take(chunk: EngineChunk): Promise<boolean> {
    this.times.noteToken();
    return this.options.take(this, chunk);
  }
}
