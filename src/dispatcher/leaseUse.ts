/** Learns from the use of leases on one backend server. */
import {LeaseEnd, type Release} from '../protocol/leaseMessages.js';
import type {HeldLease} from './heldLease.js';
import type {LeaseStats} from './leaseStats.js';
import {ServiceTimes} from './serviceTimes.js';
import type {StreamLengths} from './streamLengths.js';

/** Learns held times and stream lengths, and demotes long streams. */
export class LeaseUse {
  readonly serviceTimes = new ServiceTimes();

  constructor(
    private readonly lengths: StreamLengths,
    private readonly stats: LeaseStats,
  ) {}

  /** Takes the end of a lease into account. */
  recordRelease(lease: HeldLease, {end, tokens}: Release): void {
    if (end === LeaseEnd.Unused || end === LeaseEnd.ConnectFailed) return;
    const heldMs = Date.now() - lease.grantedAtMs;
    this.stats.recordHeld(lease.className, heldMs);
    if (end === LeaseEnd.Completed && tokens > 0) {
      this.lengths.record(lease.className, lease.customer, tokens);
    }
    // The time until a demotion was recorded then.
    if (!lease.demoted) this.recordHeldTime(lease);
  }

  /**
   * Lets a long stream run behind the others, so that its slot may be granted.
   * Returns whether the lease was demoted now.
   */
  demoteLong(lease: HeldLease): boolean {
    const {className, customer, tokens} = lease;
    if (lease.demoted) return false;
    if (!this.lengths.isLong(className, customer, tokens)) return false;
    lease.demoted = true;
    this.recordHeldTime(lease);
    return true;
  }

  private recordHeldTime(lease: HeldLease): void {
    const heldMs = Date.now() - lease.grantedAtMs;
    this.serviceTimes.record(lease.className, heldMs);
  }
}
