/** Tracks how leases on one backend server are used. */
import {LeaseEnd, type Release} from '../protocol/leaseMessages.js';
import type {HeldLease} from './heldLease.js';
import type {LeaseStats} from './leaseStats.js';
import {ServiceTimes} from './serviceTimes.js';
import type {StreamLengths} from './streamLengths.js';

/** Records service times and stream lengths, and demotes long streams. */
export class LeaseUsageTracker {
  readonly serviceTimes = new ServiceTimes();

  constructor(
    private readonly lengths: StreamLengths,
    private readonly stats: LeaseStats,
  ) {}

  /** Records the end of a lease. */
  recordRelease(lease: HeldLease, {end, tokens}: Release): void {
    if (end === LeaseEnd.Unused || end === LeaseEnd.ConnectFailed) return;
    const heldMs = Date.now() - lease.grantedAtMs;
    this.stats.recordHeldTime(lease.className, heldMs);
    if (end === LeaseEnd.Completed && tokens > 0) {
      this.lengths.record(lease.className, lease.customer, tokens);
    }
    // For a demoted lease, the time until its demotion is already recorded.
    if (!lease.demoted) this.recordServiceTime(lease);
  }

  /**
   * Demotes a long stream: it runs behind the others of its tier, and its slot
   * may be granted again. Returns true if this call demoted it.
   */
  demoteIfLong(lease: HeldLease): boolean {
    const {className, customer, tokens} = lease;
    if (lease.demoted) return false;
    if (!this.lengths.isLong(className, customer, tokens)) return false;
    lease.demoted = true;
    this.recordServiceTime(lease);
    return true;
  }

  private recordServiceTime(lease: HeldLease): void {
    const heldMs = Date.now() - lease.grantedAtMs;
    this.serviceTimes.record(lease.className, heldMs);
  }
}
