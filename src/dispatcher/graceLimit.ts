/** Limits the grants of a dispatcher that is the new owner of a server. */
import type {LoadReport} from '../protocol/engineApi.js';
import type {HeldLease} from './heldLease.js';

/** Time for gateways to renew the leases that the previous owner granted. */
export const gracePeriodMs = 500;

/**
 * During the grace period, a new owner grants only the slots that the latest
 * load report shows as free, because it doesn't know the leases of the previous
 * owner yet.
 */
export class GraceLimit {
  private startedAtMs = -Infinity;
  private report: LoadReport | undefined;

  /** Starts the grace period; earlier load reports are discarded. */
  start(nowMs: number): void {
    this.startedAtMs = nowMs;
    this.report = undefined;
  }

  /** Applies the server's latest load report. */
  applyReport(report: LoadReport): void {
    this.report = report;
  }

  /** True during the grace period. */
  isActive(nowMs: number): boolean {
    return nowMs - this.startedAtMs < gracePeriodMs;
  }

  /**
   * Number of slots that may be granted now. All grants of the grace period
   * count against the report, because it may have been taken before any of them
   * started.
   */
  countFreeSlots(leases: readonly HeldLease[]): number {
    if (!this.report) return 0;
    const granted = leases.filter(
      lease => !lease.adopted && lease.grantedAtMs >= this.startedAtMs,
    );
    const {slots, running, waiting} = this.report;
    return slots - running - waiting - granted.length;
  }
}
