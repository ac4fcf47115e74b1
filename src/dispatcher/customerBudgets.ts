/** Budgets of the customers that this dispatcher allocates. */
import type {Configuration, Customer} from '../config/configuration.js';
import type {DrawLimit, DrawLimitAnswer} from '../protocol/leaseMessages.js';
import {TokenBucket} from './tokenBucket.js';

/** Most that one draw takes, as time at the customer's rate. */
export const sliceMs = 250;
/** Budget that an idle customer saves up, as time at the rate. */
const capacityMs = 1_000;
/** A customer without draws for this time is forgotten; its buckets are full. */
const idleMs = 60_000;

export interface CustomerBudgetsOptions {
  getConfiguration: () => Configuration | undefined;
  /** True when this dispatcher allocates the customer's budget. */
  isAllocator: (customer: string) => boolean;
  /** Part of the listed gateway VMs that can be reached, 0 to 1. */
  getReachablePart: () => number;
}

interface Budget {
  requests: TokenBucket;
  tokens: TokenBucket;
  drawnAtMs: number;
}

interface Taken {
  amount: number;
  retryAfterMs: number;
}

/** Gives slices of each customer's requests and tokens per second. */
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
      // The gateway's configuration may be newer than the one here.
      return {requests: 0, tokens: 0, retryAfterMs: sliceMs, moved: true};
    }
    const part = this.options.getReachablePart();
    const budget = this.getBudget(customer, limits, part);
    budget.drawnAtMs = Date.now();
    const drawn = [
      takeSlice(budget.requests, requests, limits.requestsPerSecond * part),
      takeSlice(budget.tokens, tokens, limits.tokensPerSecond * part),
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
      if (nowMs - drawnAtMs > idleMs) this.budgets.delete(customer);
    }
  }

  /** State for the dump. */
  describe(): object {
    return {
      reachablePart: this.options.getReachablePart(),
      customers: [...this.budgets.keys()],
    };
  }

  private findLimits(customer: string): Customer | undefined {
    const customers = this.options.getConfiguration()?.customers;
    if (!customers || !Object.hasOwn(customers, customer)) return undefined;
    return customers[customer];
  }

  /** A new budget starts with one slice: another dispatcher may have spent. */
  private getBudget(
    customer: string,
    {requestsPerSecond, tokensPerSecond}: Customer,
    part: number,
  ): Budget {
    const known = this.budgets.get(customer);
    if (known) return known;
    const budget = {
      requests: new TokenBucket(computeAmount(requestsPerSecond, part)),
      tokens: new TokenBucket(computeAmount(tokensPerSecond, part)),
      drawnAtMs: Date.now(),
    };
    this.budgets.set(customer, budget);
    return budget;
  }
}

/** Amount of one slice at a rate per second. */
function computeAmount(perSecond: number, part: number): number {
  return (perSecond * part * sliceMs) / 1_000;
}

/** Takes whole units only; a slice is at least one unit. */
function takeSlice(
  bucket: TokenBucket,
  asked: number,
  perSecond: number,
): Taken {
  const capacity = Math.max(1, (perSecond * capacityMs) / 1_000);
  const available = bucket.refill({perSecond, capacity});
  const slice = Math.max(1, computeAmount(perSecond, 1));
  const wanted = Math.min(asked, slice);
  // Sums of small parts of a unit end just below a whole one.
  const amount = Math.max(0, Math.floor(Math.min(wanted, available) + 1e-9));
  bucket.take(amount);
  if (amount >= Math.floor(asked)) return {amount, retryAfterMs: 0};
  const missing = Math.max(1, Math.min(asked - amount, slice));
  const left = available - amount;
  const waitMs = (Math.max(0, missing - left) / perSecond) * 1_000;
  return {amount, retryAfterMs: Math.max(1, Math.ceil(waitMs))};
}
