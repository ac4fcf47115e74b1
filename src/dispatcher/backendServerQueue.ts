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
import {AcquireRules} from './acquireRules.js';
import type {ScheduledPick} from './classScheduler.js';
import {computePriority, type RenewedLease} from './heldLease.js';
import {LeaseTable} from './leaseTable.js';
import {ServerWatch} from './serverWatch.js';
import type {SharedState} from './sharedState.js';
import {SlotGate} from './slotGate.js';
import {WaitingEntry} from './waitingEntry.js';
import {WaitingQueue} from './waitingQueue.js';

/** Grants the slots of one backend server. */
export class BackendServerQueue {
  private readonly leases = new LeaseTable();
  private readonly gate: SlotGate;
  private readonly waiting: WaitingQueue;
  private readonly watch: ServerWatch;
  private readonly rules: AcquireRules;

  constructor(
    readonly id: string,
    private server: BackendServer,
    private configuration: Configuration,
    shared: SharedState,
  ) {
    this.gate = new SlotGate(this.leases, server);
    this.watch = new ServerWatch({
      id,
      shared,
      leases: this.leases,
      getAddress: () => this.server.address,
    });
    this.rules = new AcquireRules({
      suspects: shared.suspects,
      health: this.watch.health,
      leases: this.leases,
    });
    this.waiting = new WaitingQueue({
      classes: configuration.classes,
      serviceTimes: this.watch.use.serviceTimes,
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
    if (owned === this.rules.owned) return;
    this.rules.owned = owned;
    this.leases.drop();
    if (!owned) {
      this.waiting.refuseAll(LeaseRefusal.Moved);
      return;
    }
    this.gate.startGrace();
    this.watch.health.reset();
  }

  /** Marks the server as leaving or not; a leaving server gets no lease. */
  setLeaving(leaving: boolean): void {
    this.rules.leaving = leaving;
    if (leaving) this.waiting.refuseAll(LeaseRefusal.Leaving);
    else this.advance();
  }

  /**
   * Trusts no state from before a pause, as a new owner would. Leases still
   * count until they have had the time of a first renewal.
   */
  resetAfterPause(): void {
    if (!this.rules.owned) return;
    this.gate.startGrace();
    this.leases.requireRenewal(Date.now());
    this.waiting.refuseAll(LeaseRefusal.Moved);
  }

  /** Takes the server's newest load report. */
  applyLoadReport(report: LoadReport): void {
    this.gate.applyReport(report);
    this.watch.health.recordAnswer();
    this.advance();
  }

  /** Counts that answers carry to gateways. */
  getView(): BackendServerView {
    return {
      backendServer: this.id,
      freeSlots: this.countFree(),
      queueLength: this.waiting.length,
      ejected: this.watch.health.isAnnounced(),
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
    this.watch.recordRelease(lease, release);
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
    if (this.watch.use.demoteLong(lease)) this.advance();
    return lease.demoted ? computePriority(lease) : undefined;
  }

  /** Drops the leases that weren't renewed in time, and serves the queue. */
  expireLeases(nowMs: number): void {
    this.leases.expire(nowMs);
    if (this.rules.owned) this.watch.health.advance(nowMs);
    this.advance();
  }

  /** Refuses waiting requests that crash servers, as new marks tell. */
  refuseGuilty(): void {
    for (const entry of this.waiting.listEntries()) {
      if (!this.rules.isGuilty(entry.acquire)) continue;
      this.refuse(entry, LeaseRefusal.RequestCrashesServers);
    }
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
      serviceTimes: this.watch.use.serviceTimes.describe(),
      ejection: this.watch.health.getEjection(),
      leases: this.leases.list(),
    };
  }

  private enqueue(entry: WaitingEntry): void {
    const {acquire} = entry;
    const restricted = this.isRestricted(acquire);
    const refusal = this.waiting.find(acquire.leaseId)
      ? LeaseRefusal.DeadlineExceeded
      : this.rules.check(acquire, restricted);
    if (refusal) {
      this.refuse(entry, refusal);
      return;
    }
    this.waiting.push(entry);
    this.grantWaiting();
    if (entry.isGranted && restricted) {
      this.watch.health.startProbe(acquire.leaseId);
    }
    if (!entry.isSettled) this.holdWaiting(entry, restricted);
  }

  private holdWaiting(entry: WaitingEntry, restricted: boolean): void {
    const refusal = this.rules.checkQueueing(entry.acquire, restricted);
    if (refusal) {
      this.refuse(entry, refusal);
      return;
    }
    entry.watchExpiry(() => this.expire(entry));
    this.waiting.evictExcess(entry, this.getQueueLimit());
    this.waiting.refuseUnreachable();
  }

  private countFree(): number {
    if (!this.rules.isOpen()) return 0;
    return this.gate.countFree();
  }

  /** True while the request gets a lease only as a probe. */
  private isRestricted(acquire: Acquire): boolean {
    return this.rules.isRestricted(acquire, this.server, this.configuration);
  }

  private getQueueLimit(): number {
    const {classes, maxQueueLength} = this.configuration;
    // With room for one entry a class, some class always has one to spare.
    return Math.max(maxQueueLength, Object.keys(classes).length);
  }

  /** Serves the queue after a change of leases, slots or time. */
  private advance(): void {
    this.refuseEjected();
    this.grantWaiting();
    this.waiting.refuseUnreachable();
  }

  /** Frees queued requests to go elsewhere while the server is ejected. */
  private refuseEjected(): void {
    if (!this.watch.health.getEjection()) return;
    for (const entry of this.waiting.listEntries()) {
      if (!this.isRestricted(entry.acquire)) continue;
      this.refuse(entry, LeaseRefusal.Ejected);
    }
  }

  private grantWaiting(): void {
    for (;;) {
      const pick = this.pickGrantable();
      if (!pick) return;
      this.waiting.take(pick.entry);
      this.grant(pick);
    }
  }

  private pickGrantable(): ScheduledPick<WaitingEntry> | undefined {
    if (!this.rules.isOpen()) return undefined;
    return this.gate.pick(this.waiting, ({acquire}) =>
      this.rules.isRunnable(acquire),
    );
  }

  private grant({entry, due}: ScheduledPick<WaitingEntry>): void {
    const tier = this.waiting.getTier(entry.className);
    const lease = this.leases.add(entry.acquire, tier, due);
    entry.settle({
      kind: LeaseEventKind.Granted,
      address: this.server.address,
      priority: computePriority(lease),
      view: this.getView(),
    });
  }

  private refuse(entry: WaitingEntry, refusal: LeaseRefusal): void {
    const retryAfterMs = this.rules.getRetryAfterMs(entry.acquire, refusal);
    this.waiting.refuse(entry, refusal, retryAfterMs);
  }

  private expire(entry: WaitingEntry): void {
    const expired = Date.now() >= entry.deadlineAtMs;
    if (!expired && this.waiting.isFirstOfClass(entry)) {
      entry.watchDeadline(() => this.expire(entry));
      return;
    }
    const {DeadlineExceeded, TargetUnreachable} = LeaseRefusal;
    this.refuse(entry, expired ? DeadlineExceeded : TargetUnreachable);
  }

  /** Takes back an entry whose gateway no longer waits for it. */
  private cancel(entry: WaitingEntry): void {
    if (!entry.isSettled) this.refuse(entry, LeaseRefusal.DeadlineExceeded);
    if (!entry.isGranted) return;
    this.leases.release(entry.acquire.leaseId);
    this.advance();
  }
}
