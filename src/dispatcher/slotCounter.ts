/** How leases count against the slots of a backend server. */
import {computePriority, computeServedTier} from './heldLease.js';
import type {LeaseTable} from './leaseTable.js';

/** Share of slots that higher-tier work may be granted in excess. */
const overGrantShare = 0.25;
/** Share of slots that is left to demoted streams. */
const demotedShare = 0.25;

/**
 * Counts leases against slots. Demoted streams keep a quarter of the slots for
 * certain; beyond that, up to three quarters of the slots' number of them
 * don't count.
 */
export class SlotCounter {
  constructor(
    private readonly leases: LeaseTable,
    private slots: number,
  ) {}

  /** Changes the number of slots, e.g. after a change of configuration. */
  setSlots(slots: number): void {
    this.slots = slots;
  }

  /** Number of slots that no lease counts against; negative when exceeded. */
  countFree(): number {
    return this.slots - this.countCounted();
  }

  /** Slots that work other than demoted streams can use. */
  countNormalSlots(): number {
    return Math.max(1, this.slots - this.countReserved());
  }

  /**
   * True when one more lease of the tier may exceed the slots: the excess is
   * limited, the engine would pause work of a lower tier for it, and demoted
   * streams would keep the slots that are left to them.
   */
  allowOverGrant(tier: number): boolean {
    const excess = this.countCounted() - this.slots;
    const limit = Math.max(1, Math.floor(this.slots * overGrantShare));
    if (excess < 0 || excess >= limit) return false;
    const running = this.leases
      .list()
      .sort((a, b) => computePriority(a) - computePriority(b))
      .slice(0, this.slots);
    const paused = running.pop();
    if (!paused || computeServedTier(paused) <= tier) return false;
    const demoted = running.filter(lease => lease.demoted).length;
    return demoted >= this.countReserved();
  }

  /** Leases that count against the slots. */
  private countCounted(): number {
    return this.leases.size - this.countUncounted();
  }

  /** Slots that demoted streams occupy for certain. */
  private countReserved(): number {
    const reserve = Math.ceil(this.slots * demotedShare);
    return Math.min(this.countDemoted(), reserve);
  }

  private countUncounted(): number {
    const most = this.slots - Math.ceil(this.slots * demotedShare);
    return Math.min(this.countDemoted() - this.countReserved(), most);
  }

  private countDemoted(): number {
    return this.leases.list().filter(lease => lease.demoted).length;
  }
}
