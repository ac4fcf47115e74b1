/** Decides whether a slot may be granted now, and to which request. */
import {
  BackendServerKind,
  type BackendServer,
} from '../config/configuration.js';
import type {LoadReport} from '../protocol/engineApi.js';
import type {ScheduledPick} from './classScheduler.js';
import {GraceLimit} from './graceLimit.js';
import type {LeaseTable} from './leaseTable.js';
import {OvercommitLimiter} from './overcommitLimiter.js';
import {SlotCounter} from './slotCounter.js';
import type {WaitingEntry} from './waitingEntry.js';
import type {WaitingQueue} from './waitingQueue.js';

/** Combines free slots, overcommit, and the limit of the grace period. */
export class SlotAllocator {
  private readonly slots: SlotCounter;
  private readonly overcommit = new OvercommitLimiter();
  private readonly grace = new GraceLimit();

  constructor(
    private readonly leases: LeaseTable,
    private server: BackendServer,
  ) {
    this.slots = new SlotCounter(leases, server.slots);
  }

  /** Applies a new configuration of the server. */
  update(server: BackendServer): void {
    this.server = server;
    this.slots.setSlots(server.slots);
  }

  /** Starts the grace period of a new owner. */
  startGrace(): void {
    this.grace.start(Date.now());
  }

  /** Applies the server's latest load report. */
  applyReport(report: LoadReport): void {
    this.grace.applyReport(report);
  }

  /** Number of slots that may be granted to any request now. */
  countFreeSlots(): number {
    const free = this.slots.countFreeSlots();
    if (!this.grace.isActive(Date.now())) return free;
    return Math.min(free, this.grace.countFreeSlots(this.leases.list()));
  }

  /** Number of slots available to requests other than demoted streams. */
  countNormalSlots(): number {
    return this.slots.countNormalSlots();
  }

  /** Picks the waiting request that may be granted now. */
  pick(
    waiting: WaitingQueue,
    isEligible: (entry: WaitingEntry) => boolean,
  ): ScheduledPick<WaitingEntry> | undefined {
    const nowMs = Date.now();
    // Called for an empty queue too, because the limiter tracks how long the
    // slots are exceeded.
    const mayOvercommit = this.overcommit.allow(
      -this.slots.countFreeSlots(),
      nowMs,
    );
    if (waiting.length === 0) return undefined;
    const next = waiting.pickNext(isEligible);
    if (!next || this.countFreeSlots() > 0) return next;
    if (!mayOvercommit || this.grace.isActive(nowMs)) return undefined;
    // Only model engines pause work of a lower priority; plain services don't.
    if (this.server.kind !== BackendServerKind.ModelEngine) return undefined;
    // The result depends on the tier alone, and many entries may be checked.
    const allowedByTier = new Map<number, boolean>();
    const canOvercommit = (entry: WaitingEntry) => {
      const tier = waiting.getTier(entry.className);
      const allowed =
        allowedByTier.get(tier) ?? this.slots.allowOvercommit(tier);
      allowedByTier.set(tier, allowed);
      return allowed;
    };
    // Overcommitted work must not overtake a class whose minimum share is due.
    if (next.due) return canOvercommit(next.entry) ? next : undefined;
    return waiting.pickNext(entry => isEligible(entry) && canOvercommit(entry));
  }
}
