/** Ends a session early: the caller is gone or the deadline has passed. */
import {RefusalReason} from '../protocol/refusal.js';
import {computeRemainingMs, type RequestContext} from './requestContext.js';

export type EndingReason =
  RefusalReason.CallerGone | RefusalReason.DeadlineExceeded;

/** Aborts its signal once, and keeps the reason. */
export class SessionEnding {
  reason: EndingReason | undefined;
  private readonly abortController = new AbortController();
  private readonly timer: NodeJS.Timeout;
  private readonly noteCallerGone = () => this.end(RefusalReason.CallerGone);

  constructor(private readonly context: RequestContext) {
    this.timer = setTimeout(
      () => this.end(RefusalReason.DeadlineExceeded),
      computeRemainingMs(context),
    );
    if (context.signal.aborted) this.noteCallerGone();
    context.signal.addEventListener('abort', this.noteCallerGone);
  }

  get signal(): AbortSignal {
    return this.abortController.signal;
  }

  /** Ends the session; only the first reason counts. */
  end(reason: EndingReason): void {
    if (this.reason !== undefined) return;
    this.reason = reason;
    this.abortController.abort();
  }

  /** Frees the timer and the listener. */
  close(): void {
    clearTimeout(this.timer);
    this.context.signal.removeEventListener('abort', this.noteCallerGone);
  }
}
