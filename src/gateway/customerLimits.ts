/** Admits requests within the limits of their customers. */
import {err, ok, type Result} from 'neverthrow';
import type {Customer} from '../config/configuration.js';
import {Outcome} from '../protocol/outcome.js';
import {Refusal, RefusalReason} from '../protocol/refusal.js';
import {waitFor} from '../node/delay.js';
import {CustomerBudget} from './customerBudget.js';
import type {LimitSource} from './limitSource.js';

/** Limit of requests of one customer that wait for budget. */
const maxWaitingRequests = 100;
/** Limit of draws that one request waits for. */
const maxDrawsPerRequest = 4;
/**
 * Longest wait for this gateway's equal share. While the source gives no
 * answer, it is unknown whether the limit is reached, and the next draw may get
 * an answer.
 */
const maxShareWaitMs = 250;
const concurrencyRetryDelayMs = 200;
/** Smallest retry delay that callers are given. */
const minRetryDelayMs = 25;

/** An admitted request; `release` must be called once it has ended. */
export interface Admission {
  /** Ends the request and charges the tokens that it produced. */
  release(tokens?: number): void;
}

interface Usage {
  budget: CustomerBudget;
  inProgress: number;
  waiting: number;
  refused: number;
}

/** Sizes of the fleet, as known to this gateway. */
export interface FleetSizes {
  /** Number of serving gateways, including this one. */
  countGateways: () => number;
  /** Number of VMs in the platform's list; 0 before it is first read. */
  countListedVms: () => number;
}

/**
 * Keeps separate state for each customer, so that a burst of one neither delays
 * nor refuses another. Concurrent requests are divided equally: each of n
 * gateways admits ceil(limit / n), which exceeds the limit by less than n in
 * total.
 */
export class CustomerLimits {
  private readonly usages = new Map<string, Usage>();

  constructor(
    private readonly source: LimitSource,
    private readonly fleet: FleetSizes,
  ) {}

  /**
   * Admits or refuses a request. The outcome of a refusal is always `notRun`,
   * because the request has not been sent anywhere. A token debt holds back
   * only requests that use tokens.
   */
  async accept(
    customerId: string,
    customer: Customer,
    usesTokens: boolean,
  ): Promise<Result<Admission, Refusal>> {
    const usage = this.getUsage(customerId);
    const share = Math.ceil(customer.concurrentRequests / this.countShares());
    if (usage.inProgress + usage.waiting >= share) {
      return this.refuse(usage, 'concurrent requests', concurrencyRetryDelayMs);
    }
    if (!usage.budget.tryTake(usesTokens)) {
      const refusal = await this.waitForBudget(usage, customer, usesTokens);
      if (refusal) return refusal;
    }
    if (usage.budget.shouldDraw()) {
      void usage.budget.draw(customer, usage.waiting);
    }
    return ok(this.createAdmission(usage));
  }

  /** State for the operators' dump, by customer. */
  describe(): object {
    const entries = [...this.usages].map(([customerId, usage]) => {
      const {budget, inProgress, waiting, refused} = usage;
      return [
        customerId,
        {...budget.describe(), inProgress, waiting, refused},
      ] as const;
    });
    return Object.fromEntries(entries);
  }

  private async waitForBudget(
    usage: Usage,
    customer: Customer,
    usesTokens: boolean,
  ): Promise<Result<Admission, Refusal> | undefined> {
    const {budget} = usage;
    if (usage.waiting >= maxWaitingRequests)
      return this.refuseRate(usage, usesTokens);
    usage.waiting += 1;
    try {
      // A draw in flight does not cover requests that arrived after it started,
      // so more than one may be needed.
      for (let draws = 0; draws < maxDrawsPerRequest; draws++) {
        const blockedMs = budget.computeBlockedMs(usesTokens);
        if (blockedMs > 0) {
          if (!budget.isUsingEqualShare() || blockedMs > maxShareWaitMs) break;
          await waitFor(blockedMs);
        }
        await budget.draw(customer, usage.waiting);
        if (budget.tryTake(usesTokens)) return undefined;
      }
    } finally {
      usage.waiting -= 1;
    }
    return this.refuseRate(usage, usesTokens);
  }

  private refuseRate(
    usage: Usage,
    usesTokens: boolean,
  ): Result<Admission, Refusal> {
    const blockedMs = usage.budget.computeBlockedMs(usesTokens);
    return this.refuse(usage, 'requests or tokens a second', blockedMs);
  }

  private createAdmission(usage: Usage): Admission {
    usage.inProgress += 1;
    let released = false;
    return {
      release: (tokens = 0) => {
        if (released) return;
        released = true;
        usage.inProgress -= 1;
        if (tokens > 0) usage.budget.chargeTokens(tokens);
      },
    };
  }

  private refuse(
    usage: Usage,
    limit: string,
    retryAfterMs: number,
  ): Result<Admission, Refusal> {
    usage.refused += 1;
    return err(
      new Refusal(
        RefusalReason.CustomerLimit,
        Outcome.NotRun,
        `the customer's limit of ${limit} is reached`,
        {retryAfterMs: Math.max(minRetryDelayMs, retryAfterMs)},
      ),
    );
  }

  private getUsage(customerId: string): Usage {
    const known = this.usages.get(customerId);
    if (known) return known;
    const usage: Usage = {
      budget: new CustomerBudget(customerId, this.source, () =>
        this.countShares(),
      ),
      inProgress: 0,
      waiting: 0,
      refused: 0,
    };
    this.usages.set(customerId, usage);
    return usage;
  }

  /**
   * Number of equal shares of a limit. The VM list is taken into account
   * because in a network partition it still counts the gateways on the other
   * side.
   */
  private countShares(): number {
    const {countGateways, countListedVms} = this.fleet;
    return Math.max(1, countGateways(), countListedVms());
  }
}
