/** The requests that wait for a slot of one backend server. */
import {
  LeaseEventKind,
  LeaseRefusal,
  type Acquire,
  type BackendServerView,
  type LeaseEvent,
} from '../protocol/leaseMessages.js';
import {
  ClassScheduler,
  type ScheduledClass,
  type ScheduledPick,
} from './classScheduler.js';
import type {LeaseStats} from './leaseStats.js';
import type {ServiceTimes} from './serviceTimes.js';
import {WaitEstimator, type WaitContext} from './waitEstimator.js';
import type {WaitingEntry} from './waitingEntry.js';

export interface WaitingQueueOptions {
  classes: Readonly<Record<string, ScheduledClass>>;
  serviceTimes: ServiceTimes;
  stats: LeaseStats;
  /** Number of slots that serve the queue. */
  countSlots: () => number;
  /** Server state that the events of an acquisition report. */
  getView: (acquire: Acquire) => BackendServerView;
}

/**
 * Queues, evicts and refuses requests. The caller decides when to grant one and
 * takes it from the queue.
 */
export class WaitingQueue {
  private readonly scheduler: ClassScheduler<WaitingEntry>;
  private readonly estimator: WaitEstimator;
  private readonly byLeaseId = new Map<string, WaitingEntry>();

  constructor(private readonly options: WaitingQueueOptions) {
    this.scheduler = new ClassScheduler(options.classes);
    this.estimator = new WaitEstimator(options.serviceTimes);
  }

  /** Number of waiting entries. */
  get length(): number {
    return this.byLeaseId.size;
  }

  /** Applies new classes. */
  update(classes: Readonly<Record<string, ScheduledClass>>): void {
    this.scheduler.update(classes);
  }

  getTier(className: string): number {
    return this.scheduler.getTier(className);
  }

  /** Looks up the waiting entry of a lease id. */
  find(leaseId: string): WaitingEntry | undefined {
    return this.byLeaseId.get(leaseId);
  }

  /** Lists the waiting entries, in no particular order. */
  listEntries(): WaitingEntry[] {
    return [...this.byLeaseId.values()];
  }

  push(entry: WaitingEntry): void {
    this.byLeaseId.set(entry.acquire.leaseId, entry);
    this.scheduler.push(entry);
  }

  /** Returns the entry to grant next. */
  pickNext(
    isEligible: (entry: WaitingEntry) => boolean,
  ): ScheduledPick<WaitingEntry> | undefined {
    return this.scheduler.pickNext(isEligible);
  }

  /** Removes a granted entry and records how long it waited. */
  take(entry: WaitingEntry): void {
    this.byLeaseId.delete(entry.acquire.leaseId);
    this.scheduler.take(entry);
    const waitMs = Date.now() - entry.enqueuedAtMs;
    this.options.stats.recordGrant(entry.className, waitMs);
  }

  /**
   * Evicts entries while the queue exceeds its limit; the new entry may be one
   * of them.
   */
  evictExcess(newEntry: WaitingEntry, maxLength: number): void {
    // There is room for one entry per class, so that a queue above the limit
    // always has a class with an entry that may be evicted.
    const limit = Math.max(maxLength, this.scheduler.countClasses());
    while (this.length > limit) {
      const victim = this.scheduler.pickVictim() ?? newEntry;
      this.refuse(victim, LeaseRefusal.QueueFull);
    }
  }

  /** True if the entry is granted before all others of its class. */
  isFirstOfClass(entry: WaitingEntry): boolean {
    const {order} = this.buildContext();
    return order.find(({className}) => className === entry.className) === entry;
  }

  /** Refuses the entries that can no longer start in time. */
  refuseTargetUnreachable(): void {
    if (this.length === 0) return;
    const unreachable = this.estimator.listTargetUnreachable(
      this.buildContext(),
    );
    if (unreachable.length === 0) return;
    const retryAfterMs = this.estimateRetryAfterMs();
    for (const entry of unreachable) {
      this.refuse(entry, LeaseRefusal.TargetUnreachable, retryAfterMs);
    }
  }

  refuseAll(refusal: LeaseRefusal): void {
    const retryAfterMs = this.estimateRetryAfterMs();
    for (const entry of this.listEntries()) {
      this.refuse(entry, refusal, retryAfterMs);
    }
  }

  /** Refuses an entry, whether it is queued yet or not. */
  refuse(
    entry: WaitingEntry,
    refusal: LeaseRefusal,
    retryAfterMs = this.estimateRetryAfterMs(),
  ): void {
    if (!this.settleRefused(entry, refusal, retryAfterMs)) return;
    this.options.stats.recordRefusal(refusal);
  }

  /**
   * Ends an entry whose gateway no longer waits for it; not counted as a
   * refusal.
   */
  cancel(entry: WaitingEntry): void {
    const refusal = LeaseRefusal.DeadlineExceeded;
    if (this.settleRefused(entry, refusal)) this.options.stats.recordCancel();
  }

  /** Builds the event with an entry's position and expected wait. */
  buildQueuedEvent(entry: WaitingEntry): LeaseEvent {
    const context = this.buildContext();
    return {
      kind: LeaseEventKind.Queued,
      position: context.order.indexOf(entry) + 1,
      expectedWaitMs: this.estimator.estimateWaitMs(context, entry),
      view: this.options.getView(entry.acquire),
    };
  }

  /** State for the operators' dump. */
  describe(): object {
    return this.scheduler.describe();
  }

  private settleRefused(
    entry: WaitingEntry,
    refusal: LeaseRefusal,
    retryAfterMs?: number,
  ): boolean {
    if (this.scheduler.remove(entry)) {
      this.byLeaseId.delete(entry.acquire.leaseId);
    }
    return entry.settle({
      kind: LeaseEventKind.Refused,
      refusal,
      ...(retryAfterMs === undefined ? {} : {retryAfterMs}),
      view: this.options.getView(entry.acquire),
    });
  }

  private estimateRetryAfterMs(): number {
    return this.estimator.estimateRetryAfterMs(
      this.listEntries(),
      this.options.countSlots(),
    );
  }

  private buildContext(): WaitContext {
    return {
      order: this.scheduler.listInGrantOrder(),
      slots: this.options.countSlots(),
      nowMs: Date.now(),
    };
  }
}
