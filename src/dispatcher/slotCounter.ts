/** Counts the slots of a backend server that leases occupy. */
import {computePriority, computeEffectiveTier} from './heldLease.js';
import type {LeaseTable} from './leaseTable.js';

/** Ratio of the slots by which work of higher tiers may exceed them. */
const maxOvercommitRatio = 0.25;
/** Ratio of the slots that is reserved for demoted streams. */
const demotedReserveRatio = 0.25;

/**
 * Counts leases against slots. Demoted streams have a quarter of the slots
 * reserved for them. Beyond that, they occupy no slot, up to three quarters of
 * the number of slots.
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

  /** Number of slots that no lease occupies; negative while overcommitted. */
  countFreeSlots(): number {
    return this.slots - this.countOccupied();
  }

  /** Number of slots available to requests other than demoted streams. */
  countNormalSlots(): number {
    return Math.max(1, this.slots - this.countReservedForDemoted());
  }

  /**
   * True if one more lease of the tier may exceed the slots: the excess is
   * below its limit, the engine would pause work of a lower tier for it, and
   * demoted streams would keep the slots reserved for them.
   */
  allowOvercommit(tier: number): boolean {
    const excess = this.countOccupied() - this.slots;
    const limit = Math.max(1, Math.floor(this.slots * maxOvercommitRatio));
    if (excess < 0 || excess >= limit) return false;
    const running = this.leases
      .list()
      .sort((a, b) => computePriority(a) - computePriority(b))
      .slice(0, this.slots);
    const paused = running.pop();
    if (!paused || computeEffectiveTier(paused) <= tier) return false;
    const demoted = running.filter(lease => lease.demoted).length;
    return demoted >= this.countReservedForDemoted();
  }

  /** Number of leases that occupy a slot. */
  private countOccupied(): number {
    return this.leases.size - this.countExempt();
  }

  /** Number of reserved slots that demoted streams occupy. */
  private countReservedForDemoted(): number {
    const reserve = Math.ceil(this.slots * demotedReserveRatio);
    return Math.min(this.countDemoted(), reserve);
  }

  /** Number of demoted streams that occupy no slot. */
  private countExempt(): number {
    const maxExempt = this.slots - Math.ceil(this.slots * demotedReserveRatio);
    return Math.min(
      this.countDemoted() - this.countReservedForDemoted(),
      maxExempt,
    );
  }

  private countDemoted(): number {
    return this.leases.list().filter(lease => lease.demoted).length;
  }
}
