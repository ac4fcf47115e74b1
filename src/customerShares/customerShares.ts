/**
 * Fair division of scarce servers among the customers of a tier.
 *
 * While the servers of a service have no room for some requests of a tier, a
 * customer that uses more than its share leaves the room to requests of
 * customers within theirs that wait or were refused. This matters when one
 * customer sends a multiple of its usual load for some seconds: in order of
 * arrival, all customers would be refused alike, and those that repeat refused
 * requests at once would gain.
 */
import type {FleetTotals, TopicSums} from '../fleetTotals/fleetTotals.js';
import {TotalsTopic} from '../fleetTotals/totalsReport.js';
import {computeDecay, usageWindowMs} from './decayedSum.js';
import {computeFairShare} from './fairShare.js';
import {
  computeClaimKey,
  readFleetUsage,
  UsageLedger,
  type Claim,
  type FleetUsage,
  type WaitCause,
} from './usageLedger.js';

/** Fewer customers have nothing to divide. */
const minCustomers = 2;
/** Shares are computed at most once in this time, in milliseconds. */
const shareIntervalMs = 50;
/**
 * A customer yields only to one that uses less by this factor. Reports are late,
 * so that customers with equal use seem to differ by a few percent.
 */
const toleranceRatio = 1.1;
/** Allows for rounding errors in the comparison with the share. */
const roundingRatio = 1 + 1e-9;

/** How a customer's use compares with its share. */
export enum ShareKind {
  /** No request of the tier lacks room, so that any use is allowed. */
  Unlimited = 'unlimited',
  Within = 'within',
  /** Requests of customers that are within their shares lack room. */
  Beyond = 'beyond',
}

export type ShareState =
  | {readonly kind: ShareKind.Unlimited}
  | {readonly kind: ShareKind.Within}
  | {
      readonly kind: ShareKind.Beyond;
      /** Time after which it is within its share if it sends nothing. */
      readonly withinMs: number;
    };

/** A customer that went beyond its share, or has not been for a while. */
export interface ShareChange extends Claim {
  readonly isBeyond: boolean;
  readonly usageMs: number;
  readonly shareMs: number;
}

/** Use and share of one customer of a tier, in milliseconds of servers. */
export interface CustomerShare extends FleetUsage {
  readonly claim: Claim;
  /** Infinity unless capacity is short. */
  readonly shareMs: number;
  readonly isBeyond: boolean;
}

/** Requests of one customer that were refused since the start. */
export interface RefusalCounts {
  /** For lack of room at the servers. */
  capacity: number;
  /** While the customer was beyond its share. */
  share: number;
}

/** Work that was sent to a server. */
export interface SentWork {
  /** Corrects the expected use once the actual one is known. */
  settle(actualMs: number): void;
  /** Takes the use back, because the server didn't run the request. */
  withdraw(): void;
}

export interface CustomerSharesOptions {
  readonly totals: Pick<FleetTotals, 'register' | 'list'>;
  /** Called when a customer goes beyond its share, and later when it is back. */
  readonly reportChange: (change: ShareChange) => void;
}

/** Customers of one tier of a service. */
interface Group {
  readonly service: string;
  readonly tier: number;
  customers: ReadonlyMap<string, CustomerShare>;
  isShort: boolean;
  /** Use from which a customer yields. */
  limitMs: number;
  computedAtMs: number;
  /** When customers that are reported as beyond their shares were so last. */
  readonly beyondAtMs: Map<string, number>;
}

/**
 * Accounts the use of servers by customers, and decides whose requests yield
 * while capacity is short.
 *
 * @example
 * const work = shares.recordSend(claim, expectedMs);
 * const state = shares.check(claim);
 * const yields = state.kind === ShareKind.Beyond;
 */
export class CustomerShares {
  private readonly ledger = new UsageLedger();
  private readonly groups = new Map<string, Group>();
  private readonly refusals = new Map<string, RefusalCounts>();
  /** Includes the empty name, of requests without a customer. */
  private customers: readonly string[] = [];
  private isListing = false;
  private shortCheckedAtMs = -Infinity;
  private wasAnyShort = false;

  constructor(private readonly options: CustomerSharesOptions) {
    options.totals.register(TotalsTopic.CustomerUsage, () =>
      this.isEnabled ? this.ledger.listRows(this.isListing) : [],
    );
  }

  /** Sets the customers of the configuration. */
  setCustomers(names: readonly string[]): void {
    this.customers = names.length < minCustomers ? [] : [...names, ''];
    this.groups.clear();
    for (const name of this.refusals.keys()) {
      if (!this.customers.includes(name)) this.refusals.delete(name);
    }
  }

  /** False unless the configuration lists two customers or more. */
  get isEnabled(): boolean {
    return this.customers.length > 0;
  }

  /** Compares the use of a customer with its share. */
  check(claim: Claim): ShareState {
    if (!this.isEnabled) return {kind: ShareKind.Unlimited};
    const group = this.getGroup(claim);
    const isWatched = group.beyondAtMs.size > 0;
    if (!isWatched && !this.isAnyShort()) return {kind: ShareKind.Unlimited};
    this.refreshGroup(group);
    const share = group.customers.get(claim.customer);
    if (!group.isShort || !share) return {kind: ShareKind.Unlimited};
    // The own requests since the shares were computed count at once.
    const {usageMs} = this.measureFleetUsage(claim);
    const {limitMs} = group;
    if (usageMs <= limitMs) return {kind: ShareKind.Within};
    const withinMs = usageWindowMs * Math.log(usageMs / limitMs);
    return {kind: ShareKind.Beyond, withinMs};
  }

  /**
   * Records that a request is sent.
   *
   * @param expectedMs - time for which it is expected to use a server
   */
  recordSend(claim: Claim, expectedMs: number): SentWork {
    if (!this.isEnabled) return {settle: () => {}, withdraw: () => {}};
    const sentAtMs = performance.now();
    this.ledger.recordCost(claim.service, expectedMs);
    this.ledger.get(claim).usage.add(expectedMs);
    return {
      settle: actualMs =>
        this.ledger.get(claim).usage.add(actualMs - expectedMs),
      withdraw: () => {
        const decay = computeDecay(performance.now() - sentAtMs);
        this.ledger.get(claim).usage.add(-expectedMs * decay);
      },
    };
  }

  /**
   * Records that a request waits.
   *
   * @returns a function that records the end of the wait
   */
  recordWait(claim: Claim, expectedMs: number, cause: WaitCause): () => void {
    if (!this.isEnabled) return () => {};
    const usage = this.ledger.get(claim);
    // The first that waits changes at once who comes before it.
    if (!usage.isWaiting) this.expireShares(claim);
    usage.addWaiting(expectedMs, cause);
    return () => usage.removeWaiting(expectedMs, cause);
  }

  /**
   * Records that a request is refused.
   *
   * @param expectedMs - undefined if no server was selected for it
   */
  recordRefusal(claim: Claim, cause: WaitCause, expectedMs?: number): void {
    if (!this.isEnabled) return;
    const costMs = expectedMs ?? this.ledger.getMeanCostMs(claim.service);
    const usage = this.ledger.get(claim);
    if (!usage.isShort()) this.expireShares(claim);
    usage.recordRefusal(costMs, cause);
    const {customer} = claim;
    const counts = this.refusals.get(customer) ?? {capacity: 0, share: 0};
    counts[cause] += 1;
    this.refusals.set(customer, counts);
  }

  /** Returns the use of each customer in all services and tiers. */
  sumUsage(): ReadonlyMap<string, number> {
    return this.sumShares(({usageMs}) => usageMs);
  }

  /** Counts the tiers in which each customer is beyond its share. */
  countBeyond(): ReadonlyMap<string, number> {
    return this.sumShares(({isBeyond}) => Number(isBeyond));
  }

  /** Counts the refused requests of each customer since the start. */
  listRefusals(cause: WaitCause): Array<[customer: string, count: number]> {
    return [...this.refusals].map(([customer, counts]) => [
      customer,
      counts[cause],
    ]);
  }

  /** Lists use and shares for the state dump, in whole milliseconds. */
  describe(): object {
    return {
      isEnabled: this.isEnabled,
      shares: this.listShares()
        .filter(({usageMs, unmetMs}) => usageMs > 0 || unmetMs > 0)
        .map(share => ({
          ...share.claim,
          usageMs: Math.round(share.usageMs),
          unmetMs: Math.round(share.unmetMs),
          isShort: share.isShort,
          shareMs: Number.isFinite(share.shareMs)
            ? Math.round(share.shareMs)
            : undefined,
          isBeyond: share.isBeyond,
        })),
      refusals: Object.fromEntries(this.refusals),
    };
  }

  /** Lists use and shares of all customers in each tier with requests. */
  listShares(): CustomerShare[] {
    return [...this.groups.values()].flatMap(group => [
      ...this.refreshGroup(group).customers.values(),
    ]);
  }

  private sumShares(
    measure: (share: CustomerShare) => number,
  ): Map<string, number> {
    const sums = new Map<string, number>();
    for (const share of this.listShares()) {
      const {customer} = share.claim;
      sums.set(customer, (sums.get(customer) ?? 0) + measure(share));
    }
    return sums;
  }

  /** Makes the next check compute the shares anew. */
  private expireShares(claim: Claim): void {
    this.getGroup(claim).computedAtMs = -Infinity;
    this.shortCheckedAtMs = -Infinity;
  }

  private getGroup({service, tier}: Claim): Group {
    const name = `${service}\0${tier}`;
    let group = this.groups.get(name);
    if (!group) {
      group = {
        service,
        tier,
        customers: new Map(),
        isShort: false,
        limitMs: Infinity,
        computedAtMs: -Infinity,
        beyondAtMs: new Map(),
      };
      this.groups.set(name, group);
    }
    return group;
  }

  private refreshGroup(group: Group): Group {
    const nowMs = performance.now();
    if (nowMs - group.computedAtMs < shareIntervalMs) return group;
    this.updateShares(group);
    group.computedAtMs = nowMs;
    this.reportChanges(group);
    return group;
  }

  /** True if a request of any tier lately found no room at the servers. */
  private isAnyShort(): boolean {
    const nowMs = performance.now();
    if (nowMs - this.shortCheckedAtMs >= shareIntervalMs) {
      this.shortCheckedAtMs = nowMs;
      const sums = [...this.listTotals().values()];
      this.wasAnyShort =
        this.ledger.isAnyShort() ||
        sums.some(values => readFleetUsage(values).isShort);
    }
    return this.wasAnyShort;
  }

  private listTotals(): TopicSums {
    this.isListing = true;
    const sums = this.options.totals.list(TotalsTopic.CustomerUsage);
    this.isListing = false;
    return sums;
  }

  private updateShares(group: Group): void {
    const {service, tier} = group;
    const usages = this.customers.map(customer => {
      const claim = {service, tier, customer};
      return {claim, ...this.measureFleetUsage(claim)};
    });
    group.isShort = usages.some(usage => usage.isShort);
    const shareMs = group.isShort
      ? computeFairShare(
          usages.map(({usageMs, unmetMs}) => ({
            usage: usageMs,
            demand: usageMs + unmetMs,
          })),
        )
      : Infinity;
    group.limitMs = this.computeLimitMs(service, shareMs, usages);
    const {limitMs} = group;
    group.customers = new Map(
      usages.map(usage => [
        usage.claim.customer,
        {...usage, shareMs, isBeyond: usage.usageMs > limitMs},
      ]),
    );
  }

  /** Adds what the sums of the fleet don't contain yet. */
  private measureFleetUsage(claim: Claim): FleetUsage {
    const own = this.ledger.find(claim);
    const key = own?.key ?? computeClaimKey(claim);
    const fleet = readFleetUsage(this.listTotals().get(key));
    if (!own) return fleet;
    return {
      usageMs: fleet.usageMs + own.measureUnreportedMs(),
      unmetMs: Math.max(fleet.unmetMs, own.unmetMs),
      isShort: fleet.isShort || own.isShort(),
    };
  }

  /**
   * Returns the use from which a customer yields: its share, but more than that
   * of the customer within its share that lacks room and uses least. With few
   * requests in the window, equal customers differ by up to a request.
   */
  private computeLimitMs(
    service: string,
    shareMs: number,
    usages: readonly FleetUsage[],
  ): number {
    const lacking = usages.filter(
      ({usageMs, unmetMs, isShort}) =>
        // The mark of a shortage outlasts the request that waited.
        isShort && unmetMs > 0 && usageMs <= shareMs,
    );
    if (lacking.length === 0) return Infinity;
    const leastMs = Math.min(...lacking.map(({usageMs}) => usageMs));
    const requestMs = this.ledger.getMeanCostMs(service);
    const similarMs = leastMs * toleranceRatio + requestMs;
    return Math.max(shareMs * roundingRatio, similarMs);
  }

  private reportChanges({customers, beyondAtMs}: Group): void {
    const nowMs = performance.now();
    for (const [customer, {claim, isBeyond, usageMs, shareMs}] of customers) {
      const lastAtMs = beyondAtMs.get(customer);
      const change = {...claim, isBeyond, usageMs, shareMs};
      if (isBeyond) {
        beyondAtMs.set(customer, nowMs);
        if (lastAtMs === undefined) this.options.reportChange(change);
      } else if (lastAtMs !== undefined && nowMs - lastAtMs >= usageWindowMs) {
        beyondAtMs.delete(customer);
        this.options.reportChange(change);
      }
    }
  }
}
