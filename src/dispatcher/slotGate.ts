/** Decides whether a slot may be granted now, and to which request. */
import {
  BackendServerKind,
  type BackendServer,
} from '../config/configuration.js';
import type {LoadReport} from '../protocol/engineApi.js';
import type {ScheduledPick} from './classScheduler.js';
import {GraceLimit} from './graceLimit.js';
import type {LeaseTable} from './leaseTable.js';
import {OverGrantTimer} from './overGrantTimer.js';
import {SlotCounter} from './slotCounter.js';
import type {WaitingEntry} from './waitingEntry.js';
import type {WaitingQueue} from './waitingQueue.js';

/** Combines slots, grants in excess, and the limit of the grace time. */
export class SlotGate {
  private readonly slots: SlotCounter;
  private readonly overGrants = new OverGrantTimer();
  private readonly grace = new GraceLimit();

  constructor(
    private readonly leases: LeaseTable,
    private server: BackendServer,
  ) {
    this.slots = new SlotCounter(leases, server.slots);
  }

  /** Takes a new configuration of the server. */
  update(server: BackendServer): void {
    this.server = server;
    this.slots.setSlots(server.slots);
  }

  /** Starts the grace time of a new owner. */
  startGrace(): void {
    this.grace.start(Date.now());
  }

  /** Takes the server's newest load report. */
  applyReport(report: LoadReport): void {
    this.grace.applyReport(report);
  }

  /** Slots that may be granted to any request now. */
  countFree(): number {
    const free = this.slots.countFree();
    if (!this.grace.isActive(Date.now())) return free;
    return Math.min(free, this.grace.countFree(this.leases.list()));
  }

  /** Slots that work other than demoted streams can use. */
  countNormalSlots(): number {
    return this.slots.countNormalSlots();
  }

  /** Picks the waiting request that may be granted now. */
  pick(
    waiting: WaitingQueue,
    isEligible: (entry: WaitingEntry) => boolean,
  ): ScheduledPick<WaitingEntry> | undefined {
    const nowMs = Date.now();
    const mayOverGrant = this.overGrants.allow(-this.slots.countFree(), nowMs);
    if (waiting.length === 0) return undefined;
    const next = waiting.pickNext(isEligible);
    if (!next || this.countFree() > 0) return next;
    if (!mayOverGrant || this.grace.isActive(nowMs)) return undefined;
    // Only engines pause work of a lower priority; plain services don't.
    if (this.server.kind !== BackendServerKind.ModelEngine) return undefined;
    const canOverGrant = (entry: WaitingEntry) =>
      this.slots.allowOverGrant(waiting.getTier(entry.className));
    // A class whose minimum share is due must not be overtaken by excess work.
    if (next.due) return canOverGrant(next.entry) ? next : undefined;
    return waiting.pickNext(entry => isEligible(entry) && canOverGrant(entry));
  }
}
