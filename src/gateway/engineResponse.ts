/** One HTTP exchange with a model engine, read batch by batch. */
import type {Dispatcher} from 'undici';
import {BackendServerError, ConnectError} from '../protocol/errors.js';
import type {AttemptNumber, OutcomeTracker} from './outcomeTracker.js';

/** Unread bytes above which the connection is paused. */
const maxUnreadBytes = 64 * 1024;

export enum ReadKind {
  Bytes = 'bytes',
  /** The response ended. */
  End = 'end',
  /** The connection was never open; no byte was written. */
  ConnectFailed = 'connectFailed',
  /** The connection failed after the request was, or may have been, written. */
  Failed = 'failed',
  /** Nothing came within the limit. */
  Silent = 'silent',
  Aborted = 'aborted',
}

export type ReadResult =
  | {kind: ReadKind.Bytes; batch: Buffer[]}
  | {kind: ReadKind.ConnectFailed | ReadKind.Failed; error: Error}
  | {kind: ReadKind.End | ReadKind.Silent | ReadKind.Aborted};

/**
 * Receives undici's events and records the facts that outcomes depend on.
 *
 * undici calls `onRequestStart` on an open connection immediately before it
 * writes, so a request that fails without that call wrote nothing.
 */
export class EngineResponse {
  /** What undici calls. */
  readonly handler: Dispatcher.DispatchHandler = {
    onRequestStart: controller => this.acceptStart(controller),
    onResponseStart: (_controller, statusCode) =>
      this.acceptHeaders(statusCode),
    onResponseData: (controller, bytes) => this.acceptBytes(controller, bytes),
    onResponseEnd: () => this.end({kind: ReadKind.End}),
    onResponseError: (_controller, cause) => this.acceptError(cause),
  };

  /** HTTP status; undefined before the headers came. */
  statusCode: number | undefined;
  private controller: Dispatcher.DispatchController | undefined;
  private batch: Buffer[] = [];
  private unreadBytes = 0;
  private ending: ReadResult | undefined;
  private wakeReader: (() => void) | undefined;
  private aborted = false;

  constructor(
    private readonly tracker: OutcomeTracker,
    private readonly attempt: AttemptNumber,
  ) {}

  /** Waits for bytes or the end, for at most a time. */
  async read(limitMs: number): Promise<ReadResult> {
    if (!this.isReadable()) await this.waitUntilReadable(limitMs);
    if (this.aborted) return {kind: ReadKind.Aborted};
    if (this.batch.length > 0)
      return {kind: ReadKind.Bytes, batch: this.take()};
    return this.ending ?? {kind: ReadKind.Silent};
  }

  /** Gives the exchange up and closes its connection. */
  abort(): void {
    if (this.aborted) return;
    this.aborted = true;
    this.batch = [];
    if (!this.ending) {
      this.controller?.abort(
        new BackendServerError('the attempt was given up'),
      );
    }
    this.wakeReader?.();
  }

  /** Reads what is left, so that the connection can be used again. */
  async drain(limitMs: number): Promise<void> {
    const endsAtMs = performance.now() + limitMs;
    for (;;) {
      const leftMs = endsAtMs - performance.now();
      const result = leftMs > 0 ? await this.read(leftMs) : undefined;
      if (result?.kind !== ReadKind.Bytes) break;
    }
    this.abort();
  }

  private acceptStart(controller: Dispatcher.DispatchController): void {
    if (this.aborted) {
      controller.abort(new BackendServerError('the attempt was given up'));
      return;
    }
    if (this.controller) {
      // undici may send a request again; each attempt is sent at most once.
      controller.abort(new BackendServerError('the connection was replaced'));
      return;
    }
    this.controller = controller;
    this.tracker.noteFirstByteWritten(this.attempt);
  }

  private acceptHeaders(statusCode: number): void {
    this.tracker.noteFirstByteReceived(this.attempt);
    this.statusCode = statusCode;
  }

  private acceptBytes(
    controller: Dispatcher.DispatchController,
    bytes: Buffer,
  ): void {
    if (this.aborted) return;
    this.batch.push(bytes);
    this.unreadBytes += bytes.length;
    if (this.unreadBytes > maxUnreadBytes) controller.pause();
    this.wakeReader?.();
  }

  private acceptError(cause: Error): void {
    if (this.controller) {
      const message = `the connection failed: ${cause.message}`;
      const error = new BackendServerError(message, {cause});
      this.end({kind: ReadKind.Failed, error});
      return;
    }
    this.tracker.noteConnectFailed(this.attempt);
    const message = `the connection could not be opened: ${cause.message}`;
    const error = new ConnectError(message, {cause});
    this.end({kind: ReadKind.ConnectFailed, error});
  }

  private end(ending: ReadResult): void {
    this.ending ??= ending;
    this.wakeReader?.();
  }

  private isReadable(): boolean {
    return this.batch.length > 0 || this.ending !== undefined || this.aborted;
  }

  private async waitUntilReadable(limitMs: number): Promise<void> {
    await new Promise<void>(resolve => {
      // After a pause of the process, timers run before the sockets are read.
      const timer = setTimeout(() => setImmediate(resolve), limitMs);
      this.wakeReader = () => {
        clearTimeout(timer);
        resolve();
      };
    });
    this.wakeReader = undefined;
  }

  private take(): Buffer[] {
    const {batch} = this;
    this.batch = [];
    if (this.unreadBytes > maxUnreadBytes) this.controller?.resume();
    this.unreadBytes = 0;
    return batch;
  }
}
