/** Cancels a session when its caller disconnects or its deadline passes. */
import {RefusalReason} from '../protocol/refusal.js';
import {computeRemainingMs, type RequestContext} from './requestContext.js';

export type CancellationReason =
  RefusalReason.CallerGone | RefusalReason.DeadlineExceeded;

/** Aborts its signal once and keeps the first reason. */
export class SessionCancellation {
  reason: CancellationReason | undefined;
  private readonly abortController = new AbortController();
  private readonly timer: NodeJS.Timeout;
  private readonly handleCallerGone = () => this.end(RefusalReason.CallerGone);

  constructor(private readonly context: RequestContext) {
    this.timer = setTimeout(
      () => this.end(RefusalReason.DeadlineExceeded),
      computeRemainingMs(context),
    );
    if (context.signal.aborted) this.handleCallerGone();
    context.signal.addEventListener('abort', this.handleCallerGone);
  }

  get signal(): AbortSignal {
    return this.abortController.signal;
  }

  /** Cancels the session; only the first reason counts. */
  end(reason: CancellationReason): void {
    if (this.reason !== undefined) return;
    this.reason = reason;
    this.abortController.abort();
  }

  /** Removes the timer and the listener. */
  close(): void {
    clearTimeout(this.timer);
    this.context.signal.removeEventListener('abort', this.handleCallerGone);
  }
}
