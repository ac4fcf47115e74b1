/** Ends requests that the router can't answer. */
import {WaitCause} from '../customerShares/usageLedger.js';
import type {RequestBudget} from '../node/requestBudget.js';
import {DeadlineError, type AnvilstallError} from '../protocol/errors.js';
import {Outcome} from '../protocol/outcome.js';
import {Refusal, RefusalReason} from '../protocol/refusal.js';
import {BreakCause, classifyBreak} from './breakCause.js';
import type {ForwardedRequest} from './forwardedRequest.js';
import type {RequestLog} from './requestLog.js';
import type {RequestShare} from './requestShare.js';
import {estimateRetryAfterMs} from './returnTime.js';
import type {Selection} from './selection.js';
import type {ServerSelector} from './serverSelector.js';

/** Cost of a failure that can be retried, in milliseconds of waiting. */
const retryableFailureCostMs = 250;
/** Cost of a failure that is passed on to the caller, in milliseconds. */
const finalFailureCostMs = 600;

/** What the end of a request needs to know about it. */
export interface RequestFailureOptions {
  readonly request: ForwardedRequest;
  readonly selector: ServerSelector;
  readonly log: RequestLog;
  readonly budget: RequestBudget;
  readonly share: RequestShare;
}

/**
 * Refuses a request, or breaks off its answer once that has begun.
 *
 * @example
 * const failure = new RequestFailure({request, selector, log, budget, share});
 * failure.failWithoutServer(BreakCause.NoServerLeft, false);
 */
export class RequestFailure {
  constructor(private readonly options: RequestFailureOptions) {}

  /** Ends a request that may have run and can't be retried. */
  fail(selection: Selection, error: AnvilstallError): void {
    const {request, log} = this.options;
    const {exchange} = request;
    if (exchange.isHeadSent) {
      exchange.abortStream(classifyBreak(error));
      log.recordEvent('stream broken off', selection, error.message);
      return;
    }
    const reason =
      error instanceof DeadlineError
        ? RefusalReason.DeadlineExceeded
        : RefusalReason.BackendServerFailed;
    this.refuse(new Refusal(reason, Outcome.MayHaveRun, error.message));
  }

  /** Ends a request for which no server is left. */
  failWithoutServer(cause: BreakCause, mayHaveRun: boolean): void {
    const {request, selector, share} = this.options;
    // Other refusals, as at the deadline, don't show that capacity is short.
    const lacksRoom =
      cause === BreakCause.NoServerLeft &&
      selector.hasFullServer(request.service);
    if (lacksRoom && !mayHaveRun && !request.exchange.isHeadSent) {
      share.recordRefusal(WaitCause.Capacity);
    }
    const backoffMs = Math.max(
      selector.getBackoffMs(request.service),
      selector.getLimitIntervalMs(request.service),
      share.measureBeyondMs(),
    );
    this.failUnsent(
      cause,
      mayHaveRun,
      mayHaveRun
        ? 'no other backend server can take the request'
        : 'no backend server can take the request now',
      estimateRetryAfterMs(backoffMs, Math.random),
    );
  }

  /** Ends a request that no server would answer in time. */
  failUntimely(retryAfterMs: number): void {
    const message = 'no backend server can take the request in time';
    this.failUnsent(BreakCause.NoServerLeft, false, message, retryAfterMs);
  }

  /** Ends a request that isn't sent, or not once more. */
  failUnsent(
    cause: BreakCause,
    mayHaveRun: boolean,
    message: string,
    retryAfterMs: number,
  ): void {
    const {exchange} = this.options.request;
    if (exchange.isHeadSent) {
      exchange.abortStream(cause);
    } else if (mayHaveRun) {
      const reason = RefusalReason.BackendServerFailed;
      this.refuse(new Refusal(reason, Outcome.MayHaveRun, message));
    } else {
      const reason = RefusalReason.NoBackendServer;
      this.refuse(new Refusal(reason, Outcome.NotRun, message, {retryAfterMs}));
    }
  }

  private refuse(refusal: Refusal): void {
    const {request, log, budget} = this.options;
    request.exchange.refuse(refusal);
    log.recordRefusal(refusal, budget.describe());
  }
}

/**
 * Returns the cost of a failed attempt, in milliseconds of waiting.
 *
 * @example
 * selector.select({...request, failureCostMs: getFailureCostMs(true)});
 */
export function getFailureCostMs(isRetryable: boolean): number {
  return isRetryable ? retryableFailureCostMs : finalFailureCostMs;
}
