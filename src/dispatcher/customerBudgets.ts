/** Rate limits of the customers whose budget this dispatcher allocates. */
import type {Configuration, Customer} from '../config/configuration.js';
import type {DrawLimit, DrawLimitAnswer} from '../protocol/leaseMessages.js';
import {TokenBucket} from './tokenBucket.js';

/** Largest amount that one draw takes, as time at the customer's rate. */
export const sliceMs = 250;
/** Largest budget that accumulates, as time at the customer's rate. */
const burstMs = 1_000;
/**
 * A customer without draws for this time is forgotten; its buckets are full by
 * then.
 */
const idleExpiryMs = 60_000;

export interface CustomerBudgetsOptions {
  getConfiguration: () => Configuration | undefined;
  /** True when this dispatcher allocates the customer's budget. */
  isAllocator: (customer: string) => boolean;
  /** Ratio of the listed entry VMs whose gateway can be reached, 0 to 1. */
  getReachableRatio: () => number;
}

interface Budget {
  requests: TokenBucket;
  tokens: TokenBucket;
  drawnAtMs: number;
}

interface SliceResult {
  amount: number;
  retryAfterMs: number;
}

/** Allocates slices of each customer's requests and tokens per second. */
export class CustomerBudgets {
  private readonly budgets = new Map<string, Budget>();

  constructor(private readonly options: CustomerBudgetsOptions) {}

  /** Takes a slice of a customer's budget for a gateway. */
  draw({customer, requests, tokens}: DrawLimit): DrawLimitAnswer {
    if (!this.options.isAllocator(customer)) {
      this.budgets.delete(customer);
      return {requests: 0, tokens: 0, retryAfterMs: sliceMs, moved: true};
    }
    const limits = this.findLimits(customer);
    if (!limits) {
      // The gateway's configuration may be newer than this dispatcher's.
      return {requests: 0, tokens: 0, retryAfterMs: sliceMs, moved: true};
    }
    const reachableRatio = this.options.getReachableRatio();
    const budget = this.getBudget(customer, limits, reachableRatio);
    budget.drawnAtMs = Date.now();
    const drawn = [
      takeSlice(
        budget.requests,
        requests,
        limits.requestsPerSecond * reachableRatio,
      ),
      takeSlice(budget.tokens, tokens, limits.tokensPerSecond * reachableRatio),
    ];
    return {
      requests: drawn[0].amount,
      tokens: drawn[1].amount,
      retryAfterMs: Math.max(...drawn.map(taken => taken.retryAfterMs)),
    };
  }

  /** Forgets idle customers. */
  expire(nowMs: number): void {
    for (const [customer, {drawnAtMs}] of this.budgets) {
      if (nowMs - drawnAtMs > idleExpiryMs) this.budgets.delete(customer);
    }
  }

  /** State for the operators' dump. */
  describe(): object {
    return {
      reachablePart: this.options.getReachableRatio(),
      customers: [...this.budgets.keys()],
    };
  }

  private findLimits(customer: string): Customer | undefined {
    const customers = this.options.getConfiguration()?.customers;
    if (!customers || !Object.hasOwn(customers, customer)) return undefined;
    return customers[customer];
  }

  /**
   * A new budget starts with one slice, because another dispatcher may have
   * allocated the rest already.
   */
  private getBudget(
    customer: string,
    {requestsPerSecond, tokensPerSecond}: Customer,
    reachableRatio: number,
  ): Budget {
    const known = this.budgets.get(customer);
    if (known) return known;
    const budget = {
      requests: new TokenBucket(
        computeSliceSize(requestsPerSecond, reachableRatio),
      ),
      tokens: new TokenBucket(
        computeSliceSize(tokensPerSecond, reachableRatio),
      ),
      drawnAtMs: Date.now(),
    };
    this.budgets.set(customer, budget);
    return budget;
  }
}

/** Size of one slice at a rate per second. */
function computeSliceSize(perSecond: number, reachableRatio: number): number {
  return (perSecond * reachableRatio * sliceMs) / 1_000;
}

/** Takes whole units only; a slice is at least one unit. */
function takeSlice(
  bucket: TokenBucket,
  requested: number,
  perSecond: number,
): SliceResult {
  const capacity = Math.max(1, (perSecond * burstMs) / 1_000);
  const available = bucket.refill({perSecond, capacity});
  const slice = Math.max(1, computeSliceSize(perSecond, 1));
  const wanted = Math.min(requested, slice);
  // The tolerance absorbs rounding errors just below a whole unit.
  const amount = Math.max(0, Math.floor(Math.min(wanted, available) + 1e-9));
  bucket.take(amount);
  if (amount >= Math.floor(requested)) return {amount, retryAfterMs: 0};
  const missing = Math.max(1, Math.min(requested - amount, slice));
  const left = available - amount;
  const waitMs = (Math.max(0, missing - left) / perSecond) * 1_000;
  return {amount, retryAfterMs: Math.max(1, Math.ceil(waitMs))};
}
