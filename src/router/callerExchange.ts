/** One request of a caller and the answer to it. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Refusal} from '../protocol/refusal.js';
import type {CallerRequest, MessageCodec} from './messageCodec.js';
import type {StreamEvent} from './eventSplitter.js';

/** What a request waits for. */
export enum RequestState {
  ReadingBody = 'readingBody',
  WaitingForTurn = 'waitingForTurn',
  /** Held back, or waiting for a backend server that may take it. */
  ChoosingServer = 'choosingServer',
  AtServer = 'atServer',
  /** The answer is complete, but not yet written to the connection. */
  WritingAnswer = 'writingAnswer',
}

/** Holds a caller's request and writes at most one answer to it. */
export class CallerExchange {
  /** Aborts when the caller disconnects before its answer is complete. */
  readonly signal: AbortSignal;
  readonly startedAtMs = performance.now();
  readonly request: CallerRequest;
  private streamHead: {status: number; headers: readonly string[]} | undefined;
  private readonly gone = new AbortController();
  private stage = RequestState.ReadingBody;

  constructor(
    readonly incoming: IncomingMessage,
    private readonly response: ServerResponse,
    private readonly codec: MessageCodec,
  ) {
    this.signal = this.gone.signal;
    this.request = codec.decodeRequest(incoming.rawHeaders);
    response.on('close', () => {
      if (!response.writableFinished) this.gone.abort();
    });
    response.on('error', () => this.gone.abort());
  }

  /** What the request waits for now. */
  get state(): RequestState {
    return this.response.writableEnded
      ? RequestState.WritingAnswer
      : this.stage;
  }

  set state(state: RequestState) {
    this.stage = state;
  }

  get isHeadSent(): boolean {
    return this.response.headersSent;
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
  abortStream(): void {
    this.response.destroy();
  }

  /** Sends the router's own error answer. */
  refuse(refusal: Refusal): void {
    if (this.response.writableEnded || this.signal.aborted) return;
    const {status, retryAfterMs} = refusal;
    const {attemptId} = this.request;
    const body = Buffer.from(JSON.stringify(refusal.toBody(attemptId ?? '')));
    const headers = this.codec.encodeRefusal(attemptId, retryAfterMs);
    const type = ['Content-Type', 'application/json'];
    this.sendAnswer(status, [...headers, ...type], body);
  }
}
