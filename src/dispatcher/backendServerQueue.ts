/** Queue and slot leases of one backend server. */
import {
  BackendServerKind,
  type BackendServer,
  type Configuration,
} from '../config/configuration.js';
import type {LoadReport} from '../protocol/engineApi.js';
import {
  LeaseEnd,
  LeaseEventKind,
  LeaseRefusal,
  type Acquire,
  type BackendServerView,
  type LeaseEvent,
  type Release,
} from '../protocol/leaseMessages.js';
import type {ScheduledPick} from './classScheduler.js';
import {
  computePriority,
  type HeldLease,
  type RenewedLease,
} from './heldLease.js';
import {LeaseTable} from './leaseTable.js';
import {GraceLimit} from './graceLimit.js';
import {OverGrantTimer} from './overGrantTimer.js';
import {ServiceTimes} from './serviceTimes.js';
import {SlotCounter} from './slotCounter.js';
import type {StreamLengths} from './streamLengths.js';
import {WaitingEntry} from './waitingEntry.js';
import {WaitingQueue} from './waitingQueue.js';

/** State that all queues of a dispatcher share. */
export interface SharedState {
  lengths: StreamLengths;
}

/** Grants the slots of one backend server. */
export class BackendServerQueue {
  private readonly leases = new LeaseTable();
  private readonly slots: SlotCounter;
  private readonly waiting: WaitingQueue;
  private readonly serviceTimes = new ServiceTimes();
  private readonly overGrants = new OverGrantTimer();
  private readonly grace = new GraceLimit();
  private owned = false;
  private leaving = false;

  constructor(
    readonly id: string,
    private server: BackendServer,
    private configuration: Configuration,
    private readonly shared: SharedState,
  ) {
    this.slots = new SlotCounter(this.leases, server.slots);
    this.waiting = new WaitingQueue({
      classes: configuration.classes,
      serviceTimes: this.serviceTimes,
      countSlots: () => this.slots.countNormalSlots(),
      getView: () => this.getView(),
    });
  }

  /** Takes a new configuration. */
  update(server: BackendServer, configuration: Configuration): void {
    this.server = server;
    this.configuration = configuration;
    this.slots.setSlots(server.slots);
    this.waiting.update(configuration.classes);
    this.advance();
  }

  /**
   * Starts or ends the ownership. A new owner adopts the leases that gateways
   * renew; a former one refuses its waiting work and forgets its leases.
   */
  setOwned(owned: boolean): void {
    if (owned === this.owned) return;
    this.owned = owned;
    this.leases.drop();
    if (owned) this.grace.start(Date.now());
    else this.waiting.refuseAll(LeaseRefusal.Moved);
  }

  /** Marks the server as leaving or not; a leaving server gets no lease. */
  setLeaving(leaving: boolean): void {
    this.leaving = leaving;
    if (leaving) this.waiting.refuseAll(LeaseRefusal.Leaving);
    else this.advance();
  }

  /**
   * Trusts no state from before a pause, as a new owner would. Leases still
   * count until they have had the time of a first renewal.
   */
  resetAfterPause(): void {
    if (!this.owned) return;
    const nowMs = Date.now();
    this.grace.start(nowMs);
    this.leases.requireRenewal(nowMs);
    this.waiting.refuseAll(LeaseRefusal.Moved);
  }

  /** Takes the server's newest load report. */
  applyLoadReport(report: LoadReport): void {
    this.grace.applyReport(report);
    this.advance();
  }

  /** Counts that answers carry to gateways. */
  getView(): BackendServerView {
    return {
      backendServer: this.id,
      freeSlots: this.countFree(),
      queueLength: this.waiting.length,
      ejected: false,
    };
  }

  /** Waits for a slot; the events end with exactly one grant or refusal. */
  async *acquire(
    acquire: Acquire,
    signal: AbortSignal,
  ): AsyncGenerator<LeaseEvent> {
    const entry = new WaitingEntry(acquire);
    const cancel = () => this.cancel(entry);
    let delivered = false;
    try {
      this.enqueue(entry);
      if (!entry.isSettled) {
        signal.addEventListener('abort', cancel, {once: true});
        if (signal.aborted) cancel();
        yield this.waiting.buildQueuedEvent(entry);
      }
      const event = await entry.settled;
      delivered = !signal.aborted;
      yield event;
    } finally {
      signal.removeEventListener('abort', cancel);
      if (!delivered) cancel();
    }
  }

  /** Ends a lease and grants its slot to the next. */
  release(release: Release): void {
    const entry = this.waiting.find(release.leaseId);
    if (entry) this.cancel(entry);
    const lease = this.leases.release(release.leaseId);
    if (!lease) return;
    this.recordUse(lease, release);
    this.advance();
  }

  /**
   * Renews a lease, or adopts one that another dispatcher granted. Returns the
   * engine priority of a demoted stream; it is repeated on each renewal,
   * because an answer may be lost.
   */
  renew(gateway: string, renewed: RenewedLease): number | undefined {
    const tier = this.waiting.getTier(renewed.className);
    const lease = this.leases.renew(gateway, renewed, tier);
    if (!lease) return undefined;
    if (!lease.demoted && this.isLong(lease)) this.demote(lease);
    return lease.demoted ? computePriority(lease) : undefined;
  }

  /** Drops the leases that weren't renewed in time, and serves the queue. */
  expireLeases(nowMs: number): void {
    this.leases.expire(nowMs);
    this.advance();
  }

  /** Drops the leases and the waiting work of gateways that are dead. */
  dropGateways(isDead: (incarnation: string) => boolean): void {
    this.leases.dropGateways(isDead);
    for (const entry of this.waiting.listEntries()) {
      if (isDead(entry.acquire.gateway)) this.cancel(entry);
    }
    this.advance();
  }

  /** State for the dump. */
  describe(): object {
    return {
      ...this.getView(),
      classes: this.waiting.describe(),
      serviceTimes: this.serviceTimes.describe(),
      leases: this.leases.list(),
    };
  }

  private enqueue(entry: WaitingEntry): void {
    const refusal = this.checkAcquire(entry.acquire);
    if (refusal) {
      this.waiting.refuse(entry, refusal);
      return;
    }
    this.waiting.push(entry);
    this.grantWaiting();
    if (entry.isSettled) return;
    if (entry.acquire.immediate) {
      this.waiting.refuse(entry, LeaseRefusal.Busy);
      return;
    }
    entry.watchExpiry(() => this.expire(entry));
    this.waiting.evictExcess(entry, this.getQueueLimit());
    this.waiting.refuseUnreachable();
  }

  /** Reason to refuse an acquisition before it is queued. */
  private checkAcquire({leaseId}: Acquire): LeaseRefusal | undefined {
    if (!this.owned) return LeaseRefusal.Moved;
    if (this.leaving) return LeaseRefusal.Leaving;
    // The gateway has given up already, or has used the id before.
    const used = this.leases.has(leaseId) || this.waiting.find(leaseId);
    return used ? LeaseRefusal.DeadlineExceeded : undefined;
  }

  private countFree(): number {
    if (!this.owned || this.leaving) return 0;
    const free = this.slots.countFree();
    if (!this.grace.isActive(Date.now())) return free;
    return Math.min(free, this.grace.countFree(this.leases.list()));
  }

  private getQueueLimit(): number {
    const {classes, maxQueueLength} = this.configuration;
    // With room for one entry a class, some class always has one to spare.
    return Math.max(maxQueueLength, Object.keys(classes).length);
  }

  /** Serves the queue after a change of leases, slots or time. */
  private advance(): void {
    this.grantWaiting();
    this.waiting.refuseUnreachable();
  }

  private grantWaiting(): void {
    for (;;) {
      const pick = this.pickGrantable();
      if (!pick) return;
      this.waiting.take(pick.entry);
      this.grant(pick.entry);
    }
  }

  private pickGrantable(): ScheduledPick<WaitingEntry> | undefined {
    const nowMs = Date.now();
    const excess = -this.slots.countFree();
    const mayOverGrant =
      this.overGrants.allow(excess, nowMs) && !this.grace.isActive(nowMs);
    if (this.waiting.length === 0) return undefined;
    if (!this.owned || this.leaving) return undefined;
    const next = this.waiting.pickNext(() => true);
    if (!next || this.countFree() > 0) return next;
    if (!mayOverGrant || !this.isPreemptive()) return undefined;
    const canOverGrant = (entry: WaitingEntry) =>
      this.slots.allowOverGrant(this.waiting.getTier(entry.className));
    // A class whose minimum share is due must not be overtaken by excess work.
    if (next.due) return canOverGrant(next.entry) ? next : undefined;
    return this.waiting.pickNext(canOverGrant);
  }

  /** Only engines pause work of a lower priority; plain services don't. */
  private isPreemptive(): boolean {
    return this.server.kind === BackendServerKind.ModelEngine;
  }

  private grant(entry: WaitingEntry): void {
    const tier = this.waiting.getTier(entry.className);
    const lease = this.leases.add(entry.acquire, tier);
    entry.settle({
      kind: LeaseEventKind.Granted,
      address: this.server.address,
      priority: computePriority(lease),
      view: this.getView(),
    });
  }

  private isLong({className, customer, tokens}: HeldLease): boolean {
    return this.shared.lengths.isLong(className, customer, tokens);
  }

  /** Lets a long stream run behind the others and frees its slot. */
  private demote(lease: HeldLease): void {
    lease.demoted = true;
    this.serviceTimes.record(lease.className, Date.now() - lease.grantedAtMs);
    this.advance();
  }

  private expire(entry: WaitingEntry): void {
    const expired = Date.now() >= entry.deadlineAtMs;
    this.waiting.refuse(
      entry,
      expired ? LeaseRefusal.DeadlineExceeded : LeaseRefusal.TargetUnreachable,
    );
  }

  /** Takes back an entry whose gateway no longer waits for it. */
  private cancel(entry: WaitingEntry): void {
    if (!entry.isSettled)
      this.waiting.refuse(entry, LeaseRefusal.DeadlineExceeded);
    if (!entry.isGranted) return;
    this.leases.release(entry.acquire.leaseId);
    this.advance();
  }

  private recordUse(lease: HeldLease, {end, tokens}: Release): void {
    if (end === LeaseEnd.Unused || end === LeaseEnd.ConnectFailed) return;
    if (end === LeaseEnd.Completed && tokens > 0) {
      this.shared.lengths.record(lease.className, lease.customer, tokens);
    }
    // The time until a demotion was recorded then.
    if (lease.demoted) return;
    this.serviceTimes.record(lease.className, Date.now() - lease.grantedAtMs);
  }
}
