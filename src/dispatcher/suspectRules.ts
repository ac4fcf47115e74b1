/** Decides where requests may run that were in flight at a crash. */
import {
  crashLimit,
  suspectMarkLifetimeMs,
  type SuspectRegistry,
} from '../node/suspectRegistry.js';
import type {HeldLease} from './heldLease.js';
import type {LeaseTable} from './leaseTable.js';

/** Properties of a request that the rules use. */
export type SuspectSource = Pick<HeldLease, 'fingerprint' | 'suspectCount'>;

/** Combines this dispatcher's suspect marks with the counts of gateways. */
export class SuspectRules {
  constructor(private readonly registry: SuspectRegistry) {}

  /** Number of crashes that count against a request. */
  countCrashes({fingerprint, suspectCount}: SuspectSource): number {
    const marks =
      fingerprint === undefined ? 0 : this.registry.countCrashes(fingerprint);
    return Math.max(marks, suspectCount);
  }

  /**
   * True if a request was in flight at so many crashes that it must not run.
   */
  hasReachedCrashLimit(source: SuspectSource): boolean {
    return this.countCrashes(source) >= crashLimit;
  }

  /** True for a suspect while another suspect is in flight on the server. */
  isBlockedBySuspect(source: SuspectSource, leases: LeaseTable): boolean {
    if (this.countCrashes(source) === 0) return false;
    return leases.list().some(lease => this.countCrashes(lease) > 0);
  }

  /** Time until a request at the crash limit may run again. */
  getRetryAfterMs({fingerprint}: SuspectSource): number {
    const remainingMs =
      fingerprint === undefined ? 0 : this.registry.getRemainingMs(fingerprint);
    // Marks that only the gateway knows of expire within this time.
    return Math.ceil(remainingMs || suspectMarkLifetimeMs);
  }
}
