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
import {AdmissionRules} from './admissionRules.js';
import {CachedPrefixes} from './cachedPrefixes.js';
import type {ScheduledPick} from './classScheduler.js';
import {computePriority, type RenewedLease} from './heldLease.js';
import {LeaseTable} from './leaseTable.js';
import {ServerMonitor} from './serverMonitor.js';
import type {SharedState} from './sharedState.js';
import {SlotAllocator} from './slotAllocator.js';
import {WaitingEntry} from './waitingEntry.js';
import {WaitingQueue} from './waitingQueue.js';

/** Grants the slots of one backend server. */
export class BackendServerQueue {
  private readonly leases = new LeaseTable();
  private readonly allocator: SlotAllocator;
  private readonly waiting: WaitingQueue;
  /** Prompt prefixes in the engine's cache, as reported by its cache events. */
  readonly prefixes = new CachedPrefixes();
  private readonly watch: ServerMonitor;
  private readonly admissionRules: AdmissionRules;

  constructor(
    readonly id: string,
    private server: BackendServer,
    private configuration: Configuration,
    shared: SharedState,
  ) {
    this.allocator = new SlotAllocator(this.leases, server);
    this.watch = new ServerMonitor({
      id,
      shared,
      leases: this.leases,
      getAddress: () => this.server.address,
    });
    this.admissionRules = new AdmissionRules({
      suspects: shared.suspects,
      health: this.watch.health,
      leases: this.leases,
    });
    this.waiting = new WaitingQueue({
      classes: configuration.classes,
      serviceTimes: this.watch.usageTracker.serviceTimes,
      stats: shared.stats,
      countSlots: () => this.allocator.countNormalSlots(),
      getView: acquire => this.getView(acquire),
    });
  }

  /** Applies a new configuration. */
  update(server: BackendServer, configuration: Configuration): void {
    this.server = server;
    this.configuration = configuration;
    this.allocator.update(server);
    this.waiting.update(configuration.classes);
    this.advance();
  }

  /**
   * Starts or ends this dispatcher's ownership of the server. A new owner
   * adopts the leases that gateways renew; a former owner refuses its queued
   * requests and forgets its leases.
   */
  setOwned(owned: boolean): void {
    if (owned === this.admissionRules.owned) return;
    this.admissionRules.owned = owned;
    this.leases.clear();
    this.prefixes.reset();
    if (!owned) {
      this.waiting.refuseAll(LeaseRefusal.Moved);
      return;
    }
    this.allocator.startGrace();
    this.watch.health.reset();
  }

  /**
   * Sets whether the server is leaving; a leaving server is granted no leases.
   */
  setLeaving(leaving: boolean): void {
    this.admissionRules.leaving = leaving;
    if (leaving) this.waiting.refuseAll(LeaseRefusal.Leaving);
    else this.advance();
  }

  /**
   * Starts a new grace period after the process was paused, because another
   * dispatcher may have granted slots meanwhile. Queued requests are refused;
   * leases are dropped unless they are renewed within the first renewal
   * timeout.
   */
  resetAfterPause(): void {
    if (!this.admissionRules.owned) return;
    this.allocator.startGrace();
    this.leases.requireRenewal(Date.now());
    this.waiting.refuseAll(LeaseRefusal.Moved);
  }

  /** Applies the server's latest load report. */
  applyLoadReport(report: LoadReport): void {
    this.allocator.applyReport(report);
    this.watch.health.recordAnswer();
    this.advance();
  }

  /** State of the server that lease events report to gateways. */
  getView(acquire?: Acquire): BackendServerView {
    const digest = acquire?.prefixDigest;
    return {
      backendServer: this.id,
      freeSlots: this.countFreeSlots(),
      queueLength: this.waiting.length,
      ejected: this.watch.health.isAnnouncedAsEjected(),
      ...(digest === undefined
        ? {}
        : {cachedPrefix: this.prefixes.has(digest)}),
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

  /**
   * Ends a lease, or cancels a request that is still queued, and grants the
   * slot to the next request.
   */
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
   * engine priority of a demoted stream, at each renewal, because a response
   * may be lost.
   */
  renew(gateway: string, renewed: RenewedLease): number | undefined {
    const tier = this.waiting.getTier(renewed.className);
    const lease = this.leases.renew(gateway, renewed, tier);
    if (!lease) return undefined;
    if (this.watch.usageTracker.demoteIfLong(lease)) this.advance();
    return lease.demoted ? computePriority(lease) : undefined;
  }

  /** Drops the leases that weren't renewed in time, and advances the queue. */
  expireLeases(nowMs: number): void {
    this.leases.expire(nowMs);
    if (this.admissionRules.owned) this.watch.health.advance(nowMs);
    this.advance();
  }

  /** Drops the leases and the queued requests of dead gateways. */
  dropGateways(isDead: (incarnation: string) => boolean): void {
    this.leases.dropGateways(isDead);
    for (const entry of this.waiting.listEntries()) {
      if (isDead(entry.acquire.gateway)) this.cancel(entry);
    }
    this.advance();
  }

  /**
   * Grants or refuses queued requests after a change of leases, slots or
   * suspect marks, and as time passes.
   */
  advance(): void {
    this.refuseIneligible();
    this.grantWaiting();
    this.waiting.refuseTargetUnreachable();
  }

  /** State for the operators' dump. */
  describe(): object {
    return {
      ...this.getView(),
      classes: this.waiting.describe(),
      serviceTimes: this.watch.usageTracker.serviceTimes.describe(),
      ejection: this.watch.health.getEjection(),
      cachedPrefixes: this.prefixes.size,
      leases: this.leases.list(),
    };
  }

  private enqueue(entry: WaitingEntry): void {
    const {acquire} = entry;
    const probeOnly = this.isProbeOnly(acquire);
    // A lease id that is already queued is refused like one that was used.
    const refusal = this.waiting.find(acquire.leaseId)
      ? LeaseRefusal.DeadlineExceeded
      : this.admissionRules.check(acquire, probeOnly);
    if (refusal) {
      this.refuse(entry, refusal);
      return;
    }
    this.waiting.push(entry);
    this.grantWaiting();
    if (entry.isGranted && probeOnly) {
      this.watch.health.startProbe(acquire.leaseId);
    }
    if (!entry.isSettled) this.admitToQueue(entry, probeOnly);
  }

  /** Keeps an entry queued that wasn't granted at once, or refuses it. */
  private admitToQueue(entry: WaitingEntry, probeOnly: boolean): void {
    const refusal = this.admissionRules.checkQueueing(entry.acquire, probeOnly);
    if (refusal) {
      this.refuse(entry, refusal);
      return;
    }
    entry.startExpiryTimer(() => this.expire(entry));
    this.waiting.evictExcess(entry, this.configuration.maxQueueLength);
    this.waiting.refuseTargetUnreachable();
  }

  private countFreeSlots(): number {
    if (!this.admissionRules.canGrant()) return 0;
    return this.allocator.countFreeSlots();
  }

  /** True if the request can be granted a lease only as a probe. */
  private isProbeOnly(acquire: Acquire): boolean {
    return this.admissionRules.isProbeOnly(
      acquire,
      this.server,
      this.configuration,
    );
  }

  /** Refuses queued requests that suspect marks or an ejection now exclude. */
  private refuseIneligible(): void {
    for (const entry of this.waiting.listEntries()) {
      const probeOnly = this.isProbeOnly(entry.acquire);
      const refusal = this.admissionRules.checkQueued(entry.acquire, probeOnly);
      if (refusal) this.refuse(entry, refusal);
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
    if (!this.admissionRules.canGrant()) return undefined;
    return this.allocator.pick(this.waiting, ({acquire}) =>
      this.admissionRules.isRunnable(acquire),
    );
  }

  private grant({entry, due}: ScheduledPick<WaitingEntry>): void {
    const tier = this.waiting.getTier(entry.className);
    const lease = this.leases.add(entry.acquire, tier, due);
    entry.settle({
      kind: LeaseEventKind.Granted,
      address: this.server.address,
      priority: computePriority(lease),
      view: this.getView(entry.acquire),
    });
  }

  private refuse(entry: WaitingEntry, refusal: LeaseRefusal): void {
    const retryAfterMs = this.admissionRules.getRetryAfterMs(
      entry.acquire,
      refusal,
    );
    this.waiting.refuse(entry, refusal, retryAfterMs);
  }

  private expire(entry: WaitingEntry): void {
    const expired = Date.now() >= entry.deadlineAtMs;
    // The first entry of a class waits until its deadline, even if it misses
    // its target; see `WaitEstimator.listTargetUnreachable`.
    if (!expired && this.waiting.isFirstOfClass(entry)) {
      entry.startDeadlineTimer(() => this.expire(entry));
      return;
    }
    const {DeadlineExceeded, TargetUnreachable} = LeaseRefusal;
    this.refuse(entry, expired ? DeadlineExceeded : TargetUnreachable);
  }

  /**
   * Cancels an entry whose gateway no longer waits for it; a lease that was
   * already granted is released.
   */
  private cancel(entry: WaitingEntry): void {
    this.waiting.cancel(entry);
    if (!entry.isGranted) return;
    this.leases.release(entry.acquire.leaseId);
    this.advance();
  }
}
