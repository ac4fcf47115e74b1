/** Queue and slot leases of one backend server. */
import {
  BackendServerKind,
  type BackendServer,
  type Configuration,
} from '../config/configuration.js';
import {
  LeaseEnd,
  LeaseEventKind,
  LeaseRefusal,
  type Acquire,
  type BackendServerView,
  type LeaseEvent,
  type Release,
  type Renew,
} from '../protocol/leaseMessages.js';
import {ClassScheduler, type ScheduledPick} from './classScheduler.js';
import {computePriority, LeaseTable, type HeldLease} from './leaseTable.js';
import {OverGrantTimer} from './overGrantTimer.js';
import {ServiceTimes} from './serviceTimes.js';
import {WaitEstimator, type WaitContext} from './waitEstimator.js';
import {WaitingEntry} from './waitingEntry.js';

/** A lease that isn't renewed for this time is dropped. */
export const leaseTimeoutMs = 10_000;

/** A lease as its gateway renews it. */
export type RenewedLease = Renew['leases'][number];

/** What acquiring and renewing tell of a request. */
type LeaseSource = Pick<
  Acquire,
  | 'leaseId'
  | 'requestId'
  | 'gateway'
  | 'className'
  | 'customer'
  | 'fingerprint'
  | 'suspectCount'
>;

/** Grants the slots of one backend server. */
export class BackendServerQueue {
  private readonly leases: LeaseTable;
  private readonly scheduler: ClassScheduler<WaitingEntry>;
  private readonly serviceTimes = new ServiceTimes();
  private readonly estimator = new WaitEstimator(this.serviceTimes);
  private readonly overGrants = new OverGrantTimer();

  constructor(
    readonly id: string,
    private server: BackendServer,
    private configuration: Configuration,
  ) {
    this.leases = new LeaseTable(server.slots);
    this.scheduler = new ClassScheduler(configuration.classes);
  }

  /** Takes a new configuration. */
  update(server: BackendServer, configuration: Configuration): void {
    this.server = server;
    this.configuration = configuration;
    this.leases.setSlots(server.slots);
    this.scheduler.update(configuration.classes);
    this.advance();
  }

  /** Counts that answers carry to gateways. */
  getView(): BackendServerView {
    return {
      backendServer: this.id,
      freeSlots: this.leases.countFree(),
      queueLength: this.scheduler.length,
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
        yield this.buildQueuedEvent(entry);
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
    const lease = this.leases.remove(release.leaseId);
    if (!lease) return;
    this.recordServiceTime(lease, release);
    this.advance();
  }

  /** Renews a lease, or adopts one that another dispatcher granted. */
  renew(gateway: string, renewed: RenewedLease): void {
    const known = this.leases.find(renewed.leaseId);
    const nowMs = Date.now();
    const lease = known ?? this.buildLease({...renewed, gateway});
    lease.tokens = renewed.tokens;
    lease.renewedAtMs = nowMs;
    lease.renewed = true;
    if (!known) this.leases.add(lease);
  }

  /** Drops the leases that weren't renewed in time, and serves the queue. */
  expireLeases(nowMs: number): void {
    for (const lease of this.leases.list()) {
      if (nowMs - lease.renewedAtMs <= leaseTimeoutMs) continue;
      this.leases.remove(lease.leaseId);
    }
    this.advance();
  }

  /** Refuses all waiting work, e.g. because another dispatcher owns it now. */
  refuseWaiting(refusal: LeaseRefusal): void {
    const retryAfterMs = this.estimateRetryAfterMs();
    for (const entry of this.scheduler.listEntries()) {
      this.refuse(entry, refusal, retryAfterMs);
    }
  }

  /** State for the dump. */
  describe(): object {
    return {
      ...this.getView(),
      classes: this.scheduler.describe(),
      serviceTimes: this.serviceTimes.describe(),
      leases: this.leases.list(),
    };
  }

  private enqueue(entry: WaitingEntry): void {
    this.scheduler.push(entry);
    this.grantWaiting();
    if (entry.isSettled) return;
    if (entry.acquire.immediate) {
      this.refuse(entry, LeaseRefusal.Busy);
      return;
    }
    entry.watchExpiry(() => this.expire(entry));
    this.evictExcess(entry);
    this.refuseUnreachable();
  }

  /** Serves the queue after a change of leases, slots or time. */
  private advance(): void {
    this.grantWaiting();
    this.refuseUnreachable();
  }

  private grantWaiting(): void {
    for (;;) {
      const pick = this.pickGrantable();
      if (!pick) return;
      this.scheduler.take(pick.entry);
      this.grant(pick.entry);
    }
  }

  private pickGrantable(): ScheduledPick<WaitingEntry> | undefined {
    const free = this.leases.countFree();
    const mayOverGrant = this.overGrants.allow(-free, Date.now());
    if (this.scheduler.length === 0) return undefined;
    const next = this.scheduler.pickNext();
    if (free > 0 || !next) return next;
    if (!mayOverGrant || !this.isPreemptive()) return undefined;
    const canOverGrant = (entry: WaitingEntry) =>
      this.leases.allowOverGrant(this.scheduler.getTier(entry.className));
    // A class whose minimum share is due must not be overtaken by excess work.
    if (next.due) return canOverGrant(next.entry) ? next : undefined;
    return this.scheduler.pickNext(canOverGrant);
  }

  /** Only engines pause work of a lower priority; plain services don't. */
  private isPreemptive(): boolean {
    return this.server.kind === BackendServerKind.ModelEngine;
  }

  private grant(entry: WaitingEntry): void {
    const lease = this.buildLease(entry.acquire);
    this.leases.add(lease);
    entry.settle({
      kind: LeaseEventKind.Granted,
      address: this.server.address,
      priority: computePriority(lease),
      view: this.getView(),
    });
  }

  private buildLease(source: LeaseSource): HeldLease {
    const nowMs = Date.now();
    return {
      leaseId: source.leaseId,
      requestId: source.requestId,
      gateway: source.gateway,
      className: source.className,
      customer: source.customer,
      fingerprint: source.fingerprint,
      suspectCount: source.suspectCount,
      tier: this.scheduler.getTier(source.className),
      tokens: 0,
      demoted: false,
      grantedAtMs: nowMs,
      renewedAtMs: nowMs,
      renewed: false,
    };
  }

  private evictExcess(newcomer: WaitingEntry): void {
    const classes = Object.keys(this.configuration.classes).length;
    // With room for one entry a class, some class always has one to spare.
    const limit = Math.max(this.configuration.maxQueueLength, classes);
    while (this.scheduler.length > limit) {
      const victim = this.scheduler.pickVictim() ?? newcomer;
      this.refuse(victim, LeaseRefusal.QueueFull);
    }
  }

  private refuseUnreachable(): void {
    if (this.scheduler.length === 0) return;
    const context = this.buildWaitContext();
    for (const entry of this.estimator.listUnreachable(context)) {
      this.refuse(entry, LeaseRefusal.TargetUnreachable);
    }
  }

  private expire(entry: WaitingEntry): void {
    const expired = Date.now() >= entry.deadlineAtMs;
    this.refuse(
      entry,
      expired ? LeaseRefusal.DeadlineExceeded : LeaseRefusal.TargetUnreachable,
    );
  }

  /** Takes back an entry whose gateway no longer waits for it. */
  private cancel(entry: WaitingEntry): void {
    if (!entry.isSettled) this.refuse(entry, LeaseRefusal.DeadlineExceeded);
    if (!entry.isGranted) return;
    this.leases.remove(entry.acquire.leaseId);
    this.advance();
  }

  private refuse(
    entry: WaitingEntry,
    refusal: LeaseRefusal,
    retryAfterMs = this.estimateRetryAfterMs(),
  ): void {
    this.scheduler.remove(entry);
    const view = this.getView();
    entry.settle({
      kind: LeaseEventKind.Refused,
      refusal,
      retryAfterMs,
      view,
    });
  }

  private estimateRetryAfterMs(): number {
    return this.estimator.estimateRetryAfterMs(
      this.scheduler.listEntries(),
      this.leases.countNormalSlots(),
    );
  }

  private recordServiceTime(lease: HeldLease, {end}: Release): void {
    if (end === LeaseEnd.Unused || end === LeaseEnd.ConnectFailed) return;
    const heldMs = Date.now() - lease.grantedAtMs;
    this.serviceTimes.record(lease.className, heldMs);
  }

  private buildWaitContext(): WaitContext {
    return {
      order: this.scheduler.listInGrantOrder(),
      slots: this.leases.countNormalSlots(),
      nowMs: Date.now(),
    };
  }

  private buildQueuedEvent(entry: WaitingEntry): LeaseEvent {
    const context = this.buildWaitContext();
    return {
      kind: LeaseEventKind.Queued,
      position: context.order.indexOf(entry) + 1,
      expectedWaitMs: this.estimator.estimateWaitMs(context, entry),
      view: this.getView(),
    };
  }
}
