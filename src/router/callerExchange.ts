/** One request of a caller and the answer to it. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {Outcome} from '../protocol/outcome.js';
import {Refusal, RefusalReason} from '../protocol/refusal.js';
import {BreakCause} from './breakCause.js';
import type {CallerRequest, MessageCodec} from './messageCodec.js';
import type {StreamEvent} from './eventSplitter.js';

/** Retry delay for callers of a router that is stopping, in milliseconds. */
export const stopRetryAfterMs = 300;

/**
 * Longest wait for the rest of the body of a refused request, in milliseconds;
 * far above the time that a body takes on the slowest link of a VM.
 */
const maxBodyWaitMs = 1_000;

/** What a request waits for. */
export enum RequestState {
  ReadingBody = 'readingBody',
  WaitingForTurn = 'waitingForTurn',
  /** Held back, or waiting for a backend server that may take it. */
  ChoosingServer = 'choosingServer',
  AtServer = 'atServer',
  /** The answer is complete; it or the request's body is still on its way. */
  WritingAnswer = 'writingAnswer',
}

/** Holds a caller's request and writes at most one answer to it. */
export class CallerExchange {
  /** Aborts when the caller disconnects before its answer is complete. */
  readonly signal: AbortSignal;
  /** When the caller sent the request, as far as the router can tell. */
  readonly startedAtMs: number;
  readonly request: CallerRequest;
  /** True if a backend server may have run the request. */
  mayHaveRun = false;
  /** True once the router has given the request up. */
  isGivenUp = false;
  /** Set once the router has closed the connection of an unfinished answer. */
  breakCause: BreakCause | undefined;
  private streamHead: {status: number; headers: readonly string[]} | undefined;
  private readonly gone = new AbortController();
  private stage = RequestState.ReadingBody;
  /** True once a refusal has been written. */
  private isAnswered = false;

  /**
   * @param acceptWaitMs - time for which the request waited, unread, until its
   *     connection was accepted
   */
  constructor(
    readonly incoming: IncomingMessage,
    private readonly response: ServerResponse,
    private readonly codec: MessageCodec,
    readonly acceptWaitMs = 0,
  ) {
    this.startedAtMs = performance.now() - acceptWaitMs;
    this.signal = this.gone.signal;
    this.request = codec.decodeRequest(incoming.rawHeaders);
    // The response closes one or two iterations of the event loop after the end
    // of the connection has been read. No answer can be sent meanwhile, because
    // the HTTP server ends its side at once.
    const {socket} = incoming;
    const leave = () => {
      if (!response.writableEnded) this.gone.abort();
    };
    socket.once('end', leave).once('error', leave);
    response.on('close', () => {
      socket.off('end', leave).off('error', leave);
      if (!response.writableFinished) this.gone.abort();
    });
    response.on('error', () => this.gone.abort());
  }

  /** What the request waits for now. */
  get state(): RequestState {
    return this.isAnswered || this.response.writableEnded
      ? RequestState.WritingAnswer
      : this.stage;
  }

  set state(state: RequestState) {
    this.stage = state;
  }

  get isHeadSent(): boolean {
    return this.response.headersSent;
  }

  /** Ends the connection after the answer, unless its head has been sent. */
  closeAfterAnswer(): void {
    this.response.shouldKeepAlive = false;
  }

  /** Sends a complete answer. */
  sendAnswer(status: number, headers: readonly string[], body: Buffer): void {
    if (this.response.writableEnded || this.signal.aborted) return;
    const length = ['Content-Length', String(body.length)];
    this.response.writeHead(status, [...headers, ...length]);
    this.response.end(body);
  }

  /**
   * Sets the head of a stream, which is sent with its first event or its end.
   * Until then, the request can still get another answer or another head.
   */
  startStream(status: number, headers: readonly string[]): void {
    this.streamHead = {status, headers};
  }

  /**
   * Sends events of a stream. False when the send buffer is full; `resume` is
   * called once it has drained.
   */
  sendEvents(events: readonly StreamEvent[], resume: () => void): boolean {
    const bytes =
      events.length === 1
        ? Buffer.from(events[0].bytes)
        : Buffer.concat(events.map(event => event.bytes));
    this.sendStreamHead();
    if (this.response.write(bytes)) return true;
    this.response.once('drain', resume);
    return false;
  }

  /** Ends a stream after its last event. */
  endStream(): void {
    this.sendStreamHead();
    this.response.end();
  }

  private sendStreamHead(): void {
    if (this.isHeadSent || !this.streamHead) return;
    const {status, headers} = this.streamHead;
    this.response.writeHead(status, [...headers]);
  }

  /** Closes the connection, so that the caller can tell the stream is cut. */
  abortStream(cause: BreakCause): void {
    this.breakCause ??= cause;
    this.response.destroy();
  }

  /**
   * Ends a request that the router can't finish, and cancels its attempt. One
   * whose answer has not begun is refused; returns the refusal, or undefined if
   * an answer was broken off.
   *
   * @param reason - of the refusal if no backend server has run the request
   * @example
   * exchange.giveUp(RefusalReason.ShuttingDown, 'router is stopping');
   */
  giveUp(reason: RefusalReason, cause: string): Refusal | undefined {
    const refusal = this.isHeadSent
      ? undefined
      : this.buildFinalRefusal(reason, cause);
    if (refusal) {
      this.response.shouldKeepAlive = false;
      this.refuse(refusal);
    } else {
      this.abortStream(
        reason === RefusalReason.ShuttingDown
          ? BreakCause.RouterStopping
          : BreakCause.RouterFailed,
      );
    }
    this.isGivenUp = true;
    this.gone.abort();
    return refusal;
  }

  private buildFinalRefusal(reason: RefusalReason, cause: string): Refusal {
    if (!this.mayHaveRun) {
      const retryAfterMs = stopRetryAfterMs;
      return new Refusal(reason, Outcome.NotRun, cause, {retryAfterMs});
    }
    const message = `${cause}, and no backend server has answered`;
    return new Refusal(
      RefusalReason.DeadlineExceeded,
      Outcome.MayHaveRun,
      message,
    );
  }

  /** Sends the router's own error answer. */
  refuse(refusal: Refusal): void {
    if (this.isHeadSent || this.signal.aborted) return;
    const {status, retryAfterMs} = refusal;
    const {attemptId} = this.request;
    const body = Buffer.from(JSON.stringify(refusal.toBody(attemptId ?? '')));
    const headers = this.codec.encodeRefusal(attemptId, retryAfterMs);
    const type = ['Content-Type', 'application/json'];
    const length = ['Content-Length', String(body.length)];
    this.response.writeHead(status, [...headers, ...type, ...length]);
    this.response.write(body);
    this.isAnswered = true;
    this.endAfterRequestBody();
  }

  /**
   * Ends an answer once the rest of the request's body has been read. A
   * connection that is closed before is reset by the bytes that still arrive,
   * and the caller may lose the answer.
   */
  private endAfterRequestBody(): void {
    const {incoming, response} = this;
    if (incoming.complete || response.shouldKeepAlive) {
      response.end();
      return;
    }
    const end = () => {
      clearTimeout(timer);
      if (!response.writableEnded) response.end();
    };
    const timer = setTimeout(end, maxBodyWaitMs);
    incoming.once('close', end).once('end', end).resume();
  }
}
