/** Context of a caller's request while a gateway serves it. */
import type {Customer, RequestClass} from '../config/configuration.js';
import type {Log} from '../node/log.js';

/** Identity, class, deadline, abort signal and log of a request. */
export interface RequestContext {
  readonly requestId: string;
  readonly customerId: string;
  readonly customer: Customer;
  readonly className: string;
  readonly requestClass: RequestClass;
  /** `performance.now()` at which the request arrived. */
  readonly arrivedAtMs: number;
  /** `performance.now()` at which the caller's deadline passes. */
  readonly deadlineAtMs: number;
  /** Aborts when the caller has disconnected. */
  readonly signal: AbortSignal;
  readonly log: Log;
}

/** Returns the time until the deadline; 0 when it has passed. */
export function computeRemainingMs(context: RequestContext): number {
  return Math.max(0, context.deadlineAtMs - performance.now());
}
