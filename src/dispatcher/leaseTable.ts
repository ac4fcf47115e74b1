/** The leases on one backend server. */
import {
  buildLease,
  type HeldLease,
  type LeaseSource,
  type RenewedLease,
} from './heldLease.js';
import {ReleasedLeases} from './releasedLeases.js';

/** A lease that isn't renewed for this long is dropped. */
export const leaseTimeoutMs = 10_000;
/** A lease that isn't renewed within this time of its grant is dropped. */
export const firstRenewalTimeoutMs = 2_000;

/** Holds leases by id, from grant or adoption to release or expiry. */
export class LeaseTable {
  private readonly leases = new Map<string, HeldLease>();
  private readonly released = new ReleasedLeases();

  /** Number of leases, demoted ones included. */
  get size(): number {
    return this.leases.size;
  }

  /** True if a lease with the id is held, or was released recently. */
  has(leaseId: string): boolean {
    return this.leases.has(leaseId) || this.released.has(leaseId);
  }

  /** True while the lease is held. */
  isHeld(leaseId: string): boolean {
    return this.leases.has(leaseId);
  }

  list(): HeldLease[] {
    return [...this.leases.values()];
  }

  /** Adds a newly granted lease. */
  add(source: LeaseSource, tier: number, due = false): HeldLease {
    const lease = buildLease(source, tier, due);
    this.leases.set(lease.leaseId, lease);
    return lease;
  }

  /**
   * Renews a lease, or adopts one that another dispatcher granted. Returns
   * undefined if the lease was released recently.
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
   * acquisition or a renewal may still be in transit.
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
        : nowMs - lease.grantedAtMs <= firstRenewalTimeoutMs;
      if (!inTime) this.leases.delete(lease.leaseId);
    }
  }

  /** Drops the leases of dead gateways. */
  dropGateways(isDead: (incarnation: string) => boolean): void {
    for (const lease of this.list()) {
      if (isDead(lease.gateway)) this.leases.delete(lease.leaseId);
    }
  }

  /**
   * Treats every lease as not yet renewed, e.g. after a pause; it is dropped
   * unless its gateway renews it within the first renewal timeout.
   */
  requireRenewal(nowMs: number): void {
    for (const lease of this.list()) {
      lease.renewed = false;
      lease.adopted = true;
      lease.grantedAtMs = nowMs;
    }
  }

  /** Drops all leases; the ids of released ones stay blocked. */
  clear(): void {
    this.leases.clear();
  }
}
