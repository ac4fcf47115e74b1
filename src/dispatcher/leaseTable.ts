/** The leases on one backend server. */
import {
  buildLease,
  type HeldLease,
  type LeaseSource,
  type RenewedLease,
} from './heldLease.js';
import {ReleasedLeases} from './releasedLeases.js';

/** A lease that isn't renewed for this time is dropped. */
export const leaseTimeoutMs = 10_000;
/** A lease that was never renewed since its grant is dropped after this time. */
export const firstRenewalMs = 2_000;

/** Holds leases by id, from grant or adoption to release or expiry. */
export class LeaseTable {
  private readonly leases = new Map<string, HeldLease>();
  private readonly released = new ReleasedLeases();

  /** Number of leases, demoted ones included. */
  get size(): number {
    return this.leases.size;
  }

  /** True when the id is held, or was released a short time ago. */
  has(leaseId: string): boolean {
    return this.leases.has(leaseId) || this.released.has(leaseId);
  }

  /** True while the lease is held. */
  isHeld(leaseId: string): boolean {
    return this.leases.has(leaseId);
  }

  /** Lists all leases. */
  list(): HeldLease[] {
    return [...this.leases.values()];
  }

  /** Adds the lease of a grant. */
  add(source: LeaseSource, tier: number, due = false): HeldLease {
    const lease = buildLease(source, tier, due);
    this.leases.set(lease.leaseId, lease);
    return lease;
  }

  /**
   * Renews a lease, or adopts one that another dispatcher granted. Returns
   * undefined for a lease that was released before.
   */
  renew(
    gateway: string,
    renewed: RenewedLease,
    tier: number,
  ): HeldLease | undefined {
    if (this.released.has(renewed.leaseId)) return undefined;
    let lease = this.leases.get(renewed.leaseId);
    if (!lease) {
      lease = this.add({...renewed, gateway}, tier);
      lease.adopted = true;
    }
    lease.tokens = renewed.tokens;
    lease.suspectCount = renewed.suspectCount;
    lease.renewedAtMs = Date.now();
    lease.renewed = true;
    return lease;
  }

  /**
   * Ends a lease and returns it. The id is blocked from then on, because its
   * grant or a renewal may still be on the way.
   */
  release(leaseId: string): HeldLease | undefined {
    this.released.add(leaseId, Date.now());
    const lease = this.leases.get(leaseId);
    this.leases.delete(leaseId);
    return lease;
  }

  /** Drops the leases that weren't renewed in time. */
  expire(nowMs: number): void {
    this.released.expire(nowMs);
    for (const lease of this.list()) {
      const inTime = lease.renewed
        ? nowMs - lease.renewedAtMs <= leaseTimeoutMs
        : nowMs - lease.grantedAtMs <= firstRenewalMs;
      if (!inTime) this.leases.delete(lease.leaseId);
    }
  }

  /** Drops the leases of gateways that are dead. */
  dropGateways(isDead: (incarnation: string) => boolean): void {
    for (const lease of this.list()) {
      if (isDead(lease.gateway)) this.leases.delete(lease.leaseId);
    }
  }

  /** Requires a new first renewal of every lease, e.g. after a pause. */
  requireRenewal(nowMs: number): void {
    for (const lease of this.list()) {
      lease.renewed = false;
      lease.adopted = true;
      lease.grantedAtMs = nowMs;
    }
  }

  /** Forgets all leases. */
  drop(): void {
    this.leases.clear();
  }
}
