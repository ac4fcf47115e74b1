/** Limit on the grants of a dispatcher that is new to a backend server. */
import type {LoadReport} from '../protocol/engineApi.js';
import type {HeldLease} from './heldLease.js';

/** Time in which gateways renew the leases that an earlier owner granted. */
export const graceMs = 500;

/**
 * For the grace time, a new owner grants only what the last load report leaves
 * free, because it doesn't know the leases of the earlier owner yet.
 */
export class GraceLimit {
  private startedAtMs = -Infinity;
  private report: LoadReport | undefined;

  /** Starts the grace time; earlier reports are no longer trusted. */
  start(nowMs: number): void {
    this.startedAtMs = nowMs;
    this.report = undefined;
  }

  /** Takes the server's newest load report. */
  applyReport(report: LoadReport): void {
    this.report = report;
  }

  /** True during the grace time. */
  isActive(nowMs: number): boolean {
    return nowMs - this.startedAtMs < graceMs;
  }

  /**
   * Slots that may be granted now. All grants of the grace time count against
   * the report, because it may have been taken before any of them started.
   */
  countFree(leases: readonly HeldLease[]): number {
    if (!this.report) return 0;
    const granted = leases.filter(
      lease => !lease.adopted && lease.grantedAtMs >= this.startedAtMs,
    );
    const {slots, running, waiting} = this.report;
    return slots - running - waiting - granted.length;
  }
}
