/** HTTP response of a model engine, read in batches. */
import type {Dispatcher} from 'undici';
import {BackendServerError, ConnectError} from '../protocol/errors.js';
import type {AttemptNumber, OutcomeTracker} from './outcomeTracker.js';

/** Unread bytes above which the connection is paused. */
const maxUnreadBytes = 64 * 1024;

export enum ReadKind {
  Bytes = 'bytes',
  /** The response ended. */
  End = 'end',
  /** The connection was never opened, so no byte was written. */
  ConnectFailed = 'connectFailed',
  /** The connection failed after the request was, or may have been, written. */
  Failed = 'failed',
  /** Nothing arrived within the time limit. */
  Silent = 'silent',
  Aborted = 'aborted',
}

export type ReadResult =
  | {kind: ReadKind.Bytes; batch: Buffer[]}
  | {kind: ReadKind.ConnectFailed | ReadKind.Failed; error: Error}
  | {kind: ReadKind.End | ReadKind.Silent | ReadKind.Aborted};

/**
 * Receives undici's events and records the facts that decide the outcome of a
 * request.
 *
 * undici calls `onRequestStart` on an open connection immediately before it
 * writes, so a request that fails without that call wrote nothing.
 */
export class EngineResponse {
  /** Callbacks that undici calls. */
  readonly handler: Dispatcher.DispatchHandler = {
    onRequestStart: controller => this.handleStart(controller),
    onResponseStart: (_controller, statusCode) =>
      this.handleHeaders(statusCode),
    onResponseData: (controller, bytes) => this.handleBytes(controller, bytes),
    onResponseEnd: () => this.end({kind: ReadKind.End}),
    onResponseError: (_controller, cause) => this.handleError(cause),
  };

  /** HTTP status; undefined until the headers have arrived. */
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

  /**
   * Waits for bytes or the end of the response, but not longer than the limit.
   */
  async read(maxWaitMs: number): Promise<ReadResult> {
    if (!this.isReadable()) await this.waitUntilReadable(maxWaitMs);
    if (this.aborted) return {kind: ReadKind.Aborted};
    if (this.batch.length > 0)
      return {kind: ReadKind.Bytes, batch: this.takeBatch()};
    return this.ending ?? {kind: ReadKind.Silent};
  }

  /** Aborts the exchange and closes its connection. */
  abort(): void {
    if (this.aborted) return;
    this.aborted = true;
    this.batch = [];
    if (!this.ending) {
      this.controller?.abort(new BackendServerError('the attempt was aborted'));
    }
    this.wakeReader?.();
  }

  /** Reads the rest of the response, so that the connection can be reused. */
  async drain(maxWaitMs: number): Promise<void> {
    const endsAtMs = performance.now() + maxWaitMs;
    for (;;) {
      const leftMs = endsAtMs - performance.now();
      const result = leftMs > 0 ? await this.read(leftMs) : undefined;
      if (result?.kind !== ReadKind.Bytes) break;
    }
    this.abort();
  }

  private handleStart(controller: Dispatcher.DispatchController): void {
    if (this.aborted) {
      controller.abort(new BackendServerError('the attempt was aborted'));
      return;
    }
    if (this.controller) {
      // undici may retry a request, but each attempt must be sent at most once.
      controller.abort(new BackendServerError('the connection was replaced'));
      return;
    }
    this.controller = controller;
    this.tracker.noteFirstByteWritten(this.attempt);
  }

  private handleHeaders(statusCode: number): void {
    this.tracker.noteFirstByteReceived(this.attempt);
    this.statusCode = statusCode;
  }

  private handleBytes(
    controller: Dispatcher.DispatchController,
    bytes: Buffer,
  ): void {
    if (this.aborted) return;
    this.batch.push(bytes);
    this.unreadBytes += bytes.length;
    if (this.unreadBytes > maxUnreadBytes) controller.pause();
    this.wakeReader?.();
  }

  private handleError(cause: Error): void {
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

  private async waitUntilReadable(maxWaitMs: number): Promise<void> {
    await new Promise<void>(resolve => {
      // After the process was paused, timers run before the sockets are read;
      // setImmediate lets bytes that have already arrived be read first.
      const timer = setTimeout(() => setImmediate(resolve), maxWaitMs);
      this.wakeReader = () => {
        clearTimeout(timer);
        resolve();
      };
    });
    this.wakeReader = undefined;
  }

  private takeBatch(): Buffer[] {
    const {batch} = this;
    this.batch = [];
    if (this.unreadBytes > maxUnreadBytes) this.controller?.resume();
    this.unreadBytes = 0;
    return batch;
  }
}
