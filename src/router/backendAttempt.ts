/** One attempt to run a request at one backend server. */
import {errors, type Dispatcher} from 'undici';
import type {Input, InputMeter} from '../input/inputMeter.js';
import {
  AnvilstallError,
  BackendServerError,
  ConnectError,
  CrossedAnswerError,
  DeadlineError,
  SupersededError,
} from '../protocol/errors.js';
import {PauseReason, type BackendConnection} from './backendConnections.js';
import {EventSplitter, type StreamEvent} from './eventSplitter.js';
import type {
  BackendAnswer,
  MessageCodec,
  RawHeaders,
  ReportedLoad,
} from './messageCodec.js';

export enum AttemptKind {
  /** A complete answer. */
  Answered = 'answered',
  /** A complete stream whose events were passed on. */
  Streamed = 'streamed',
  /** The server stated that it did not run the request and will not. */
  NotRun = 'notRun',
  /** No connection was opened, so nothing was sent. */
  Unreachable = 'unreachable',
  /** No complete answer arrived; the request may have run. */
  Broken = 'broken',
}

/** Result of one attempt. */
export type AttemptResult =
  | {
      kind: AttemptKind.Answered;
      status: number;
      headers: string[];
      body: Buffer;
      answer: BackendAnswer;
    }
  | {kind: AttemptKind.Streamed}
  | {
      kind: AttemptKind.NotRun;
      status: number;
      /** The server asked this router to send no requests for this long. */
      retryAfterMs?: number;
      /** A process other than the expected one answered at the address. */
      isOtherProcess: boolean;
      load?: ReportedLoad;
    }
  | {kind: AttemptKind.Unreachable; error: AnvilstallError}
  | {
      kind: AttemptKind.Broken;
      error: AnvilstallError;
      /** The other side closed or reset the connection. */
      isConnectionLost: boolean;
      /** It did so before any byte of an answer. */
      isUnanswered: boolean;
    };

/** Receives the parts of a stream as they arrive. */
export interface StreamListener {
  /** Called with the status and headers of a successful answer. */
  receiveHead(status: number, headers: string[]): void;
  /**
   * Called with complete events. False applies backpressure: reading pauses
   * until `resume` is called.
   */
  receiveEvents(events: StreamEvent[], resume: () => void): boolean;
}

export interface AttemptOptions {
  readonly connection: Pick<
    BackendConnection,
    'isBroken' | 'pauseReading' | 'resumeReading'
  > & {readonly dispatcher: Dispatcher};
  readonly method: string;
  readonly path: string;
  readonly headers: string[];
  readonly body: Buffer;
  readonly attemptId: string | undefined;
  readonly codec: MessageCodec;
  /**
   * Present for streaming routes. An answer whose status is not 2xx is still
   * collected as a whole.
   */
  readonly stream?: StreamListener;
  /** Called with what the head of the answer states about the server. */
  readonly receiveAnswer: (answer: BackendAnswer) => void;
  /** Answers, or single events of a stream, above this size are cut off. */
  readonly maxAnswerBytes: number;
  readonly meter: InputMeter;
}

/** Error codes of a connection that was lost during a request. */
const connectionLossCodes = new Set(['ECONNRESET', 'EPIPE', 'UND_ERR_SOCKET']);
const minSuccessStatus = 200;
const minRedirectStatus = 300;
/** Error codes of a connection that was never established. */
const connectFailureCodes = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'EADDRNOTAVAIL',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** Sends a request, then collects its answer or passes its stream on. */
export class BackendAttempt implements Dispatcher.DispatchHandler {
  readonly result: Promise<AttemptResult>;
  private settle!: (result: AttemptResult) => void;
  private controller: Dispatcher.DispatchController | undefined;
  private abortReason: Error | undefined;
  private sentAtMs: number | undefined;
  private hasHead = false;
  private status = 0;
  private headers: string[] = [];
  private answer: BackendAnswer | undefined;
  private isStream = false;
  private isCloseDelimited = false;
  /** Holds the answer, or the incomplete event of a stream. */
  private readonly input: Input;
  private readonly splitter: EventSplitter;
  /** Events that were read in this turn and haven't been passed on. */
  private events: StreamEvent[] = [];
  private lastProgressAtMs = performance.now();
  /** True while nothing is read because the caller takes no more events. */
  private isPaused = false;
  private isSettled = false;

  constructor(private readonly options: AttemptOptions) {
    this.result = new Promise(resolve => {
      this.settle = result => {
        this.isSettled = true;
        this.input.close();
        resolve(result);
      };
    });
    const {connection, method, path, headers, body} = options;
    this.input = options.meter.open({
      maxBytes: options.maxAnswerBytes,
      source: {
        pause: () => connection.pauseReading(PauseReason.Pace),
        resume: () => connection.resumeReading(PauseReason.Pace),
      },
      evict: error => this.controller?.abort(error),
    });
    this.splitter = new EventSplitter(this.input);
    const request = {
      method: method as Dispatcher.HttpMethod,
      path,
      headers,
      body: body.length > 0 ? body : null,
    };
    try {
      connection.dispatcher.dispatch(request, this);
    } catch (error) {
      this.onResponseError(undefined, error as Error);
    }
  }

  /**
   * Milliseconds since the server last sent a head, a part of a body or, in a
   * stream, a complete event; 0 while reading is paused.
   */
  measureSilenceMs(): number {
    return this.isPaused ? 0 : performance.now() - this.lastProgressAtMs;
  }

  /** Milliseconds since the request was sent; 0 while it connects. */
  measureSentMs(): number {
    return this.sentAtMs === undefined ? 0 : performance.now() - this.sentAtMs;
  }

  /** Closes the connection, which cancels the request at the server. */
  abort(reason: AnvilstallError): void {
    if (this.abortReason) return;
    this.abortReason = reason;
    this.controller?.abort(reason);
    this.fail(reason);
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.controller = controller;
    this.sentAtMs = performance.now();
    this.lastProgressAtMs = this.sentAtMs;
    if (this.abortReason) controller.abort(this.abortReason);
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
  ): void {
    this.hasHead = true;
    this.input.recordPieces(1);
    if (status < minSuccessStatus) return;
    this.lastProgressAtMs = performance.now();
    const {codec, attemptId, stream} = this.options;
    const headers = readRawHeaders(controller.rawHeaders);
    const answer = codec.decodeAnswer(status, headers);
    if (answer.attemptId !== attemptId) {
      controller.abort(new CrossedAnswerError('answer of another request'));
      return;
    }
    this.options.receiveAnswer(answer);
    this.isCloseDelimited = isCloseDelimited(headers);
    this.status = status;
    this.answer = answer;
    this.headers = codec.encodeAnswer(headers);
    const isSuccess = status >= minSuccessStatus && status < minRedirectStatus;
    if (isSuccess && !answer.hasStamp) {
      controller.abort(new BackendServerError('success without a stamp'));
      return;
    }
    this.isStream = stream !== undefined && isSuccess;
    if (this.isStream) stream!.receiveHead(status, this.headers);
  }

  onResponseData(
    controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    const {splitter} = this;
    if (!this.isStream) {
      this.lastProgressAtMs = performance.now();
      this.input.recordPieces(1);
      this.input.append(chunk).mapErr(error => controller.abort(error));
      return;
    }
    const {lineCount} = splitter;
    splitter.split(chunk).match(
      events => this.addEvents(events),
      error => controller.abort(error),
    );
    this.input.recordPieces(1 + splitter.lineCount - lineCount);
  }

  /**
   * Collects the events of one read, which are passed on together: a server may
   * put each byte into a piece of its own.
   */
  private addEvents(events: readonly StreamEvent[]): void {
    // Bytes that complete no event are not progress: a stalled server may
    // still send some.
    if (events.length === 0) return;
    if (this.events.length === 0) queueMicrotask(() => this.forwardEvents());
    for (const event of events) this.events.push(event);
  }

  private forwardEvents(): void {
    const {events} = this;
    if (events.length === 0 || this.isSettled) return;
    this.events = [];
    this.lastProgressAtMs = performance.now();
    const {connection, stream} = this.options;
    const canContinue = stream!.receiveEvents(events, () => {
      // The connection may serve another request by now.
      if (!this.isPaused || this.isSettled) return;
      this.isPaused = false;
      this.lastProgressAtMs = performance.now();
      connection.resumeReading(PauseReason.Caller);
    });
    if (canContinue) return;
    this.isPaused = true;
    connection.pauseReading(PauseReason.Caller);
  }

  onResponseEnd(): void {
    // A connection reset is reported only after the handlers of this turn of
    // the event loop.
    if (this.isCloseDelimited) setImmediate(() => this.finish());
    else this.finish();
  }

  private finish(): void {
    const {status, answer, headers} = this;
    this.forwardEvents();
    if (!answer) {
      this.fail(new BackendServerError('answer without a head'));
    } else if (answer.isNotRun) {
      this.settleNotRun(answer);
    } else if (this.isCloseDelimited && this.options.connection.isBroken) {
      const message = 'connection reset within an answer';
      this.fail(new BackendServerError(message), true);
    } else if (!this.isStream) {
      const body = this.input.take();
      const kind = AttemptKind.Answered;
      this.settle({kind, status, headers, body, answer});
    } else if (this.splitter.pendingBytes > 0) {
      this.fail(new BackendServerError('stream ended within an event'));
    } else {
      this.settle({kind: AttemptKind.Streamed});
    }
  }

  onResponseError(
    _controller: Dispatcher.DispatchController | undefined,
    error: Error,
  ): void {
    const {answer} = this;
    this.forwardEvents();
    if (answer?.isNotRun) {
      this.settleNotRun(answer);
      return;
    }
    const code = (error as NodeJS.ErrnoException).code ?? '';
    if (
      this.sentAtMs === undefined &&
      (connectFailureCodes.has(code) || isConnectFailure(error))
    ) {
      const cause = new ConnectError(error.message, {cause: error});
      this.settle({kind: AttemptKind.Unreachable, error: cause});
      return;
    }
    this.fail(
      error instanceof AnvilstallError
        ? error
        : new BackendServerError(error.message, {cause: error}),
      connectionLossCodes.has(code),
    );
  }

  private settleNotRun(answer: BackendAnswer): void {
    const {status} = this;
    const {load, isOtherProcess, retryAfterMs} = answer;
    const kind = AttemptKind.NotRun;
    this.settle({kind, status, isOtherProcess, retryAfterMs, load});
  }

  private fail(error: AnvilstallError, isConnectionLost = false): void {
    const isUnanswered = isConnectionLost && !this.hasHead;
    this.settle(
      this.sentAtMs === undefined
        ? {kind: AttemptKind.Unreachable, error}
        : {kind: AttemptKind.Broken, error, isConnectionLost, isUnanswered},
    );
  }
}

/**
 * True if this router ended an attempt for a reason that says nothing about its
 * server: a deadline, a caller that disconnected, or another attempt that goes
 * on.
 *
 * @example
 * if (!isAbortedByRouter(result.error)) recordFailure(server);
 */
export function isAbortedByRouter(error: AnvilstallError): boolean {
  return error instanceof DeadlineError || error instanceof SupersededError;
}

/**
 * True for an answer that ends when its connection closes: it has no length, and
 * chunks aren't its last coding (RFC 9112, section 6.3).
 */
function isCloseDelimited(headers: RawHeaders): boolean {
  const list = (name: string) =>
    headers.filter(
      (_item, index) =>
        index % 2 === 1 && headers[index - 1].toLowerCase() === name,
    );
  if (list('content-length').length > 0) return false;
  const codings = list('transfer-encoding').join().split(',');
  return codings.at(-1)!.trim().toLowerCase() !== 'chunked';
}

/** True when the connection failed before it was established. */
function isConnectFailure(error: Error): boolean {
  return (
    (error as NodeJS.ErrnoException).syscall === 'connect' ||
    error instanceof errors.ConnectTimeoutError
  );
}

function readRawHeaders(
  raw: Dispatcher.DispatchController['rawHeaders'],
): RawHeaders {
  if (!Array.isArray(raw)) return [];
  return raw.map(item =>
    typeof item === 'string' ? item : item.toString('latin1'),
  );
}
