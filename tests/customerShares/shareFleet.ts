/** A few routers with shares of customers, and servers of a fixed capacity. */
import type {Clock} from '@sinonjs/fake-timers';
import {
  CustomerShares,
  ShareKind,
  type ShareChange,
} from '../../src/customerShares/customerShares.js';
import {WaitCause, type Claim} from '../../src/customerShares/usageLedger.js';
import {FleetTotals} from '../../src/fleetTotals/fleetTotals.js';

/** Interval of full reports, in milliseconds. */
const reportIntervalMs = 1_200;
/** Work that the servers take in beforehand, in milliseconds. */
const maxBacklogMs = 200;
/** Requests wait for room for this long, in milliseconds. */
const targetMs = 300;

export interface ShareFleetOptions {
  readonly clock: Clock;
  readonly routers: number;
  readonly customers: readonly string[];
  /** Number of servers, each of which does a millisecond of work in each. */
  readonly servers: number;
  /** Returns the delay of a report in milliseconds; undefined if it is lost. */
  readonly drawDelay?: (router: number) => number | undefined;
}

/** What one customer got and didn't get. */
export interface CustomerResult {
  servedMs: number;
  refused: number;
}

interface WaitingRequest {
  readonly claim: Claim;
  readonly shares: CustomerShares;
  readonly router: number;
  readonly costMs: number;
  readonly repeats: number;
  readonly latestAtMs: number;
  readonly endWait?: () => void;
}

interface Router {
  readonly shares: CustomerShares;
  readonly totals: FleetTotals;
  nextReportAtMs: number;
}

/** Sends requests of customers to routers, with reports between these. */
export class ShareFleet {
  readonly changes: ShareChange[] = [];
  private readonly routers: Router[];
  private readonly deliveries: Array<{atMs: number; deliver: () => void}> = [];
  private waiting: WaitingRequest[] = [];
  private results = new Map<string, CustomerResult>();
  private backlogMs = 0;

  constructor(private readonly options: ShareFleetOptions) {
    this.routers = Array.from({length: options.routers}, (_, index) => {
      const totals = new FleetTotals({usesRelays: () => false});
      const shares = new CustomerShares({
        totals,
        reportChange: change => this.changes.push(change),
      });
      shares.setCustomers(options.customers);
      const nextReportAtMs = (reportIntervalMs * index) / options.routers;
      return {shares, totals, nextReportAtMs};
    });
  }

  /** Lets time pass, in which servers work and reports arrive. */
  advance(ms: number): void {
    const {clock, servers} = this.options;
    clock.tick(ms);
    this.backlogMs = Math.max(0, this.backlogMs - ms * servers);
    const nowMs = performance.now();
    this.routers.forEach((router, index) => {
      if (nowMs < router.nextReportAtMs) return;
      router.nextReportAtMs += reportIntervalMs;
      this.sendReport(index);
    });
    for (const delivery of this.deliveries.splice(0)) {
      if (delivery.atMs <= nowMs) delivery.deliver();
      else this.deliveries.push(delivery);
    }
    this.wakeWaiting();
  }

  /**
   * Sends a request to a router, where it waits if there is no room.
   *
   * @param repeats - times that it is sent again at once after a refusal
   */
  send(claim: Claim, router: number, costMs: number, repeats = 0): void {
    const {shares} = this.routers[router % this.routers.length];
    const latestAtMs = performance.now() + targetMs;
    this.decide({claim, shares, router, costMs, repeats, latestAtMs});
  }

  private decide(request: WaitingRequest): void {
    const {claim, shares, router, costMs, repeats} = request;
    const yields = shares.check(claim).kind === ShareKind.Beyond;
    const result = this.getResult(claim.customer);
    if (!yields && !this.isFull) {
      this.backlogMs += costMs;
      result.servedMs += costMs;
      shares.recordSend(claim, costMs).settle(costMs);
      return;
    }
    const cause = yields ? WaitCause.Share : WaitCause.Capacity;
    if (performance.now() < request.latestAtMs) {
      const endWait = shares.recordWait(claim, costMs, cause);
      this.waiting.push({...request, endWait});
      return;
    }
    shares.recordRefusal(claim, cause, costMs);
    result.refused += 1;
    if (repeats > 0) this.send(claim, router + 1, costMs, repeats - 1);
  }

  /** Decides the requests that wait again, those within shares first. */
  private wakeWaiting(): void {
    const isBeyond = ({shares, claim}: WaitingRequest) =>
      Number(shares.check(claim).kind === ShareKind.Beyond);
    const nowMs = performance.now();
    const woken = this.waiting
      .splice(0)
      .map(request => ({request, beyond: isBeyond(request)}))
      .sort(
        (a, b) =>
          a.beyond - b.beyond || a.request.latestAtMs - b.request.latestAtMs,
      );
    for (const {request, beyond} of woken) {
      // The result is known without a decision.
      const canWait = request.latestAtMs > nowMs;
      if (canWait && (this.isFull || beyond > 0)) this.waiting.push(request);
      else this.decideAgain(request);
    }
  }

  private decideAgain(request: WaitingRequest): void {
    request.endWait?.();
    this.decide(request);
  }

  /** True if the servers have no room. */
  get isFull(): boolean {
    return this.backlogMs >= maxBacklogMs * this.options.servers;
  }

  getShares(router: number): CustomerShares {
    return this.routers[router].shares;
  }

  getResult(customer: string): CustomerResult {
    const result = this.results.get(customer) ?? {servedMs: 0, refused: 0};
    this.results.set(customer, result);
    return result;
  }

  /** Counts served and refused requests from now on. */
  resetResults(): void {
    this.results = new Map();
  }

  private sendReport(from: number): void {
    const report = this.routers[from].totals.listOwn(true);
    this.routers.forEach(({totals}, to) => {
      const delayMs = this.options.drawDelay?.(from);
      if (to === from) return;
      if (this.options.drawDelay && delayMs === undefined) return;
      this.deliveries.push({
        atMs: performance.now() + (delayMs ?? 20),
        deliver: () => totals.recordPeer(String(from), report, false),
      });
    });
  }
}
