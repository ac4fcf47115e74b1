/** This router's share of the fleet's retry budget. */
import {RequestBudget} from '../node/requestBudget.js';
import type {FleetView} from './fleetView.js';

/** Ratio of the fleet's budget that the routers spend together. */
const budgetUsageRatio = 0.8;
/**
 * Minimum fleet size for the calculation of shares, because a router that has
 * discovered few others may belong to a large fleet.
 */
const minAssumedRouters = 6;
const msPerSecond = 1_000;

/** Retry limits of the whole fleet for one service. */
export interface FleetRetryLimits {
  /** Retries allowed per request. */
  readonly ratio: number;
  /** Retries allowed in one window in excess of the ratio. */
  readonly slack: number;
  readonly windowSeconds: number;
}

/**
 * Counts the routers, including this one, that share the budget with it. A
 * router that hears from no other counts all that it knows: the loss of a relay
 * silences all others, which go on.
 *
 * @param isOffered - true if callers are given this router's address
 * @example
 * countSharingRouters(fleet, true) === 8
 */
export function countSharingRouters(
  fleet: Pick<FleetView, 'countActive' | 'countRouters' | 'hasContact'>,
  isOffered: boolean,
): number {
  return isOffered && fleet.hasContact()
    ? fleet.countActive() + 1
    : fleet.countRouters();
}

/** Number of routers that a router knew at some time. */
interface RouterCount {
  readonly routers: number;
  ageMs: number;
}

/**
 * Keeps one token bucket per service. In any window a router spends at most its
 * share of the slack: half of it is the capacity of the bucket, and half is
 * refilled during the window. A router that starts later than the fleet has an
 * empty bucket: the process that it replaces may have spent its share.
 *
 * @example
 * if (budgets.get('pen-models').take()) await retry();
 */
export class RetryBudgets {
  private readonly budgets = new Map<string, RequestBudget>();
  /** Tokens of a service without requests so far: what time alone has added. */
  private unspent: number;
  /** Counts of the last window, each larger than all after it. */
  private counts: RouterCount[] = [];

  /**
   * @param countRouters - known routers of the fleet, including this one
   * @param isFirstStart - true when the whole fleet starts, without traffic
   */
  constructor(
    private readonly getLimits: () => FleetRetryLimits,
    private readonly countRouters: () => number,
    isFirstStart = false,
  ) {
    this.unspent = isFirstStart ? Infinity : 0;
  }

  get(service: string): RequestBudget {
    let budget = this.budgets.get(service);
    if (!budget) {
      const ratio = this.getLimits().ratio * budgetUsageRatio;
      const burst = this.computeCapacity();
      budget = new RequestBudget({ratio, burst, initial: this.unspent});
      this.budgets.set(service, budget);
    }
    return budget;
  }

  /** Lists the retries that are allowed now, by service. */
  list(): Array<[service: string, left: number]> {
    return [...this.budgets].map(([service, budget]) => [
      service,
      budget.describe(),
    ]);
  }

  /** Adds the share of the slack that is due after the elapsed time. */
  refill(elapsedMs: number): void {
    this.recordCount(elapsedMs);
    const capacity = this.computeCapacity();
    const added = (this.computeSlackShare() * elapsedMs) / this.windowMs;
    this.unspent = Math.min(capacity, this.unspent + added);
    for (const budget of this.budgets.values()) {
      budget.resize(capacity);
      budget.add(added);
    }
  }

  private get windowMs(): number {
    return this.getLimits().windowSeconds * msPerSecond;
  }

  private recordCount(elapsedMs: number): void {
    for (const count of this.counts) count.ageMs += elapsedMs;
    const routers = this.countRouters();
    this.counts = this.counts.filter(
      count => count.ageMs <= this.windowMs && count.routers > routers,
    );
    this.counts.push({routers, ageMs: 0});
  }

  /**
   * Capacity of a bucket. With one token, an almost full bucket would discard
   * part of what the next request adds.
   */
  private computeCapacity(): number {
    const minCapacity = 1 + this.getLimits().ratio * budgetUsageRatio;
    return Math.max(minCapacity, this.computeSlackShare());
  }

  /**
   * Share of the largest fleet within the window: routers that have left or
   * that callers have moved away from may have spent theirs.
   */
  private computeSlackShare(): number {
    const largest = this.counts[0]?.routers ?? 0;
    const routers = Math.max(minAssumedRouters, largest, this.countRouters());
    return (this.getLimits().slack * budgetUsageRatio) / 2 / routers;
  }
}
