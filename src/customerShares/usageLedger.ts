/**
 * Use of backend servers by this router's requests, by service, tier and
 * customer. What counts is the work that was sent; requests that were refused
 * only count as demand.
 */
import {h32} from '../node/hashFunctions.js';
import type {TotalsRow} from '../fleetTotals/totalsReport.js';
import {computeDecay, DecayedSum} from './decayedSum.js';

/** The customer, and what it wants to use. */
export interface Claim {
  readonly service: string;
  readonly tier: number;
  /** Empty for requests without a customer, which share one part. */
  readonly customer: string;
}

/** Why a request waits or is refused. */
export enum WaitCause {
  /** The servers have no room for it. */
  Capacity = 'capacity',
  /** It leaves the room to requests of customers within their shares. */
  Share = 'share',
}

/**
 * Capacity is short for this time after a request waited or was refused, in
 * milliseconds.
 */
const shortageMs = 300;
/** The same for other routers: the interval of full reports. */
const reportedShortageMs = 1_200;
/** Rows contain tenths of milliseconds. */
const unitsPerMs = 10;
/** Weight of a new sample in the mean cost of a request. */
const sampleWeight = 0.05;
/**
 * Sums of the fleet that contain this router's rows as of now are at most this
 * old, in milliseconds; sums from relays contain earlier rows.
 */
const maxViewAgeMs = 150;
/** Entries are removed below this use and demand, in milliseconds. */
const minKeptMs = 0.05;

/** Use at the time of a row. */
interface ReportedUsage {
  readonly usageMs: number;
  readonly atMs: number;
}

/** Use and demand by the requests of one claim. */
export class ClaimUsage {
  readonly key: number;
  readonly usage = new DecayedSum();
  private readonly refused = new DecayedSum();
  private waitingMs = 0;
  private waiting = 0;
  /** Requests that wait because the servers have no room. */
  private waitingForRoom = 0;
  private shortAtMs = -Infinity;
  private viewed: ReportedUsage = {usageMs: 0, atMs: -Infinity};
  private reported: ReportedUsage = {usageMs: 0, atMs: performance.now()};
  /** The report before `reported`. */
  private relayed = this.reported;

  constructor(claim: Claim) {
    this.key = computeClaimKey(claim);
  }

  /** Work that waits or was refused, in milliseconds. */
  get unmetMs(): number {
    return this.refused.value + this.waitingMs;
  }

  /** True if nothing is left of the use and the demand. */
  get isOver(): boolean {
    return (
      this.waiting === 0 &&
      this.usage.value < minKeptMs &&
      this.unmetMs < minKeptMs
    );
  }

  /** True while a request waits. */
  get isWaiting(): boolean {
    return this.waiting > 0;
  }

  /** Counts a request that waits. */
  addWaiting(costMs: number, cause: WaitCause): void {
    this.waiting += 1;
    this.waitingMs += costMs;
    if (cause === WaitCause.Capacity) this.waitingForRoom += 1;
    this.recordShortage(cause);
  }

  /** The reverse of `addWaiting`. */
  removeWaiting(costMs: number, cause: WaitCause): void {
    this.waiting -= 1;
    this.waitingMs = this.waiting > 0 ? this.waitingMs - costMs : 0;
    if (cause === WaitCause.Capacity) this.waitingForRoom -= 1;
    this.recordShortage(cause);
  }

  recordRefusal(costMs: number, cause: WaitCause): void {
    this.refused.add(costMs);
    this.recordShortage(cause);
  }

  /** True if a request lately found no room at the servers. */
  isShort(withinMs = shortageMs): boolean {
    return (
      this.waitingForRoom > 0 || performance.now() - this.shortAtMs < withinMs
    );
  }

  /**
   * Use that the sums of the fleet don't contain yet. A relay reports the sums
   * up to a report interval after this router's report; for that long, the use
   * since the report before counts twice rather than not at all.
   */
  measureUnreportedMs(): number {
    const nowMs = performance.now();
    const {viewed, reported, relayed} = this;
    const isRelayed = nowMs - reported.atMs >= reportedShortageMs;
    const base = isRelayed ? reported : relayed;
    const isViewed = nowMs - viewed.atMs <= maxViewAgeMs;
    const {usageMs, atMs} = isViewed ? viewed : base;
    const leftMs = usageMs * computeDecay(nowMs - atMs);
    return Math.max(0, this.usage.value - leftMs);
  }

  /**
   * Builds the row for the sums of the fleet.
   *
   * @param isOwnView - false for a report to other routers
   */
  buildRow(isOwnView: boolean): TotalsRow {
    const usageMs = this.usage.value;
    const row = {usageMs, atMs: performance.now()};
    if (isOwnView) this.viewed = row;
    else this.recordReport(row);
    const isShort = this.isShort(isOwnView ? shortageMs : reportedShortageMs);
    return [
      this.key,
      Math.round(usageMs * unitsPerMs),
      Math.round(this.unmetMs * unitsPerMs),
      Number(isShort),
    ];
  }

  /** Greetings of new routers contain a row, too, but change no sums. */
  private recordReport(row: ReportedUsage): void {
    if (row.atMs - this.reported.atMs < reportedShortageMs / 2) return;
    this.relayed = this.reported;
    this.reported = row;
  }

  private recordShortage(cause: WaitCause): void {
    if (cause === WaitCause.Capacity) this.shortAtMs = performance.now();
  }
}

/** Sums over the fleet for one claim. */
export interface FleetUsage {
  readonly usageMs: number;
  readonly unmetMs: number;
  readonly isShort: boolean;
}

/** The reverse of `ClaimUsage.buildRow`, for the values of a sum. */
export function readFleetUsage([
  usage = 0,
  unmet = 0,
  short = 0,
]: readonly number[] = []): FleetUsage {
  return {
    usageMs: usage / unitsPerMs,
    unmetMs: unmet / unitsPerMs,
    isShort: short > 0,
  };
}

/**
 * Hashes a claim to 32 bits. When two collide, their use is merged.
 *
 * @example
 * computeClaimKey({service: 'pen-models', tier: 1, customer: 'museum'})
 */
export function computeClaimKey({service, tier, customer}: Claim): number {
  return h32(`${service}\0${tier}\0${customer}`);
}

/**
 * Keeps the use of all claims of this router.
 *
 * @example
 * ledger.get(claim).usage.add(40);
 */
export class UsageLedger {
  private readonly claims = new Map<string, ClaimUsage>();
  private readonly meanCostsMs = new Map<string, number>();

  get(claim: Claim): ClaimUsage {
    const name = formatClaim(claim);
    let usage = this.claims.get(name);
    if (!usage) this.claims.set(name, (usage = new ClaimUsage(claim)));
    return usage;
  }

  /** Returns the use of a claim that has any. */
  find(claim: Claim): ClaimUsage | undefined {
    return this.claims.get(formatClaim(claim));
  }

  /** Updates the mean cost of a request to a service. */
  recordCost(service: string, costMs: number): void {
    const meanMs = this.meanCostsMs.get(service) ?? costMs;
    this.meanCostsMs.set(service, meanMs + (costMs - meanMs) * sampleWeight);
  }

  /** Mean cost of a request to a service, in milliseconds. */
  getMeanCostMs(service: string): number {
    return this.meanCostsMs.get(service) ?? 0;
  }

  /** True if a request lately found no room at the servers. */
  isAnyShort(): boolean {
    return [...this.claims.values()].some(usage => usage.isShort());
  }

  /** Lists the rows for the sums of the fleet; see `ClaimUsage.buildRow`. */
  listRows(isOwnView: boolean): TotalsRow[] {
    for (const [name, usage] of this.claims) {
      if (usage.isOver && !usage.isShort(reportedShortageMs)) {
        this.claims.delete(name);
      }
    }
    return [...this.claims.values()].map(usage => usage.buildRow(isOwnView));
  }
}

function formatClaim({service, tier, customer}: Claim): string {
  return `${service}\0${tier}\0${customer}`;
}
