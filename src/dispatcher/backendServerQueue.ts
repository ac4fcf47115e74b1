/** Queue and slot leases of one backend server. */
import type {BackendServer, Configuration} from '../config/configuration.js';
import type {LoadReport} from '../protocol/engineApi.js';
import {
  LeaseEventKind,
  LeaseRefusal,
  type Acquire,
  type BackendServerView,
  type LeaseEvent,
  type Release,
} from '../protocol/leaseMessages.js';
import type {EjectionBoard} from './ejectionBoard.js';
import {EjectionGate} from './ejectionGate.js';
import {computePriority, type RenewedLease} from './heldLease.js';
import {LeaseTable} from './leaseTable.js';
import {LeaseUse} from './leaseUse.js';
import {SlotGate} from './slotGate.js';
import type {StreamLengths} from './streamLengths.js';
import {WaitingEntry} from './waitingEntry.js';
import {WaitingQueue} from './waitingQueue.js';

/** State that all queues of a dispatcher share. */
export interface SharedState {
  lengths: StreamLengths;
  ejections: EjectionBoard;
}

/** Grants the slots of one backend server. */
export class BackendServerQueue {
  private readonly leases = new LeaseTable();
  private readonly gate: SlotGate;
  private readonly waiting: WaitingQueue;
  private readonly use: LeaseUse;
  private readonly health: EjectionGate;
  private owned = false;
  private leaving = false;

  constructor(
    readonly id: string,
    private server: BackendServer,
    private configuration: Configuration,
    shared: SharedState,
  ) {
    this.gate = new SlotGate(this.leases, server);
    this.health = new EjectionGate(id, shared.ejections, this.leases);
    this.use = new LeaseUse(shared.lengths);
    this.waiting = new WaitingQueue({
      classes: configuration.classes,
      serviceTimes: this.use.serviceTimes,
      countSlots: () => this.gate.countNormalSlots(),
      getView: () => this.getView(),
    });
  }

  /** Takes a new configuration. */
  update(server: BackendServer, configuration: Configuration): void {
    this.server = server;
    this.configuration = configuration;
    this.gate.update(server);
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
    if (!owned) {
      this.waiting.refuseAll(LeaseRefusal.Moved);
      return;
    }
    this.gate.startGrace();
    this.health.reset();
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
    this.gate.startGrace();
    this.leases.requireRenewal(Date.now());
    this.waiting.refuseAll(LeaseRefusal.Moved);
  }

  /** Takes the server's newest load report. */
  applyLoadReport(report: LoadReport): void {
    this.gate.applyReport(report);
    this.health.recordAnswer();
    this.advance();
  }

  /** Counts that answers carry to gateways. */
  getView(): BackendServerView {
    return {
      backendServer: this.id,
      freeSlots: this.countFree(),
      queueLength: this.waiting.length,
      ejected: this.health.isAnnounced(),
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
    this.use.recordRelease(lease, release);
    this.health.recordRelease(lease, release);
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
    if (this.use.demoteLong(lease)) this.advance();
    return lease.demoted ? computePriority(lease) : undefined;
  }

  /** Drops the leases that weren't renewed in time, and serves the queue. */
  expireLeases(nowMs: number): void {
    this.leases.expire(nowMs);
    if (this.owned) this.health.advance(nowMs);
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
      serviceTimes: this.use.serviceTimes.describe(),
      ejection: this.health.getEjection(),
      leases: this.leases.list(),
    };
  }

  private enqueue(entry: WaitingEntry): void {
    const refusal = this.checkAcquire(entry.acquire);
    if (refusal) {
      this.waiting.refuse(entry, refusal);
      return;
    }
    const restricted = this.isRestricted();
    this.waiting.push(entry);
    this.grantWaiting();
    if (restricted && entry.isGranted) {
      this.health.startProbe(entry.acquire.leaseId);
    }
    if (entry.isSettled) return;
    if (restricted) {
      this.waiting.refuse(entry, LeaseRefusal.Ejected);
      return;
    }
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
    if (used) return LeaseRefusal.DeadlineExceeded;
    if (!this.isRestricted() || this.health.isProbeDue()) return undefined;
    return LeaseRefusal.Ejected;
  }

  private countFree(): number {
    if (!this.owned || this.leaving) return 0;
    return this.gate.countFree();
  }

  /** True while only probes are granted, one at a time. */
  private isRestricted(): boolean {
    return this.health.isRestricted(this.server, this.configuration);
  }

  private getQueueLimit(): number {
    const {classes, maxQueueLength} = this.configuration;
    // With room for one entry a class, some class always has one to spare.
    return Math.max(maxQueueLength, Object.keys(classes).length);
  }

  /** Serves the queue after a change of leases, slots or time. */
  private advance(): void {
    if (this.waiting.length > 0 && this.isRestricted()) {
      this.waiting.refuseAll(LeaseRefusal.Ejected);
    }
    this.grantWaiting();
    this.waiting.refuseUnreachable();
  }

  private grantWaiting(): void {
    for (;;) {
      const entry = this.pickGrantable();
      if (!entry) return;
      this.waiting.take(entry);
      this.grant(entry);
    }
  }

  private pickGrantable(): WaitingEntry | undefined {
    if (!this.owned || this.leaving) return undefined;
    return this.gate.pick(this.waiting, () => true);
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
}
