/** The leases on one backend server, and which of them hold a slot. */

/** Factor from a tier to the engine's priority numbers. */
const priorityPerTier = 1_000;
/** Added to the priority number of a demoted stream. */
const demotedPriority = 500;
/** Share of slots that higher-tier work may be granted in excess. */
const overGrantShare = 0.25;
/** Share of slots that is left to demoted streams. */
const demotedShare = 0.25;

/** A running request, as the dispatcher knows it. */
export interface HeldLease {
  leaseId: string;
  requestId: string;
  gateway: string;
  className: string;
  customer: string;
  fingerprint?: string;
  /** Crashes that the gateway knows of for this request. */
  suspectCount: number;
  tier: number;
  tokens: number;
  /** True for a long stream that runs behind the others of its tier. */
  demoted: boolean;
  grantedAtMs: number;
  renewedAtMs: number;
  /** True once the gateway has renewed the lease here. */
  renewed: boolean;
}

/** Priority number for the engine; lower is served first. */
export function computePriority(
  lease: Pick<HeldLease, 'tier' | 'demoted'>,
): number {
  return lease.tier * priorityPerTier + (lease.demoted ? demotedPriority : 0);
}

/** Holds leases by id and counts them against the slots. */
export class LeaseTable {
  private readonly leases = new Map<string, HeldLease>();

  constructor(private slots: number) {}

  /** Number of leases, demoted ones included. */
  get size(): number {
    return this.leases.size;
  }

  /** Changes the number of slots, e.g. after a change of configuration. */
  setSlots(slots: number): void {
    this.slots = slots;
  }

  /** Adds a lease, or replaces the one with the same id. */
  add(lease: HeldLease): void {
    this.leases.set(lease.leaseId, lease);
  }

  /** Looks up a lease. */
  find(leaseId: string): HeldLease | undefined {
    return this.leases.get(leaseId);
  }

  /** Removes a lease and returns it. */
  remove(leaseId: string): HeldLease | undefined {
    const lease = this.leases.get(leaseId);
    this.leases.delete(leaseId);
    return lease;
  }

  /** Lists all leases. */
  list(): HeldLease[] {
    return [...this.leases.values()];
  }

  /** Forgets all leases. */
  drop(): void {
    this.leases.clear();
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
    const running = this.list()
      .sort((a, b) => computePriority(a) - computePriority(b))
      .slice(0, this.slots);
    const paused = running.pop();
    if (!paused || paused.tier <= tier) return false;
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
    return this.list().filter(lease => lease.demoted).length;
  }
}
