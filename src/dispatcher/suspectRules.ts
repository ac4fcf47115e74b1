/** Where requests may run that were in flight at a crash. */
import {
  guiltyCrashCount,
  suspectMarkLifetimeMs,
  type SuspectRegistry,
} from '../node/suspectRegistry.js';
import type {HeldLease} from './heldLease.js';
import type {LeaseTable} from './leaseTable.js';

/** What the rules need to know of a request. */
export type SuspectSource = Pick<HeldLease, 'fingerprint' | 'suspectCount'>;

/** Combines the own marks with what gateways know. */
export class SuspectRules {
  constructor(private readonly registry: SuspectRegistry) {}

  /** Crashes that count against a request. */
  countCrashes({fingerprint, suspectCount}: SuspectSource): number {
    const marks =
      fingerprint === undefined ? 0 : this.registry.countCrashes(fingerprint);
    return Math.max(marks, suspectCount);
  }

  /** True when a request must not be run. */
  isGuilty(source: SuspectSource): boolean {
    return this.countCrashes(source) >= guiltyCrashCount;
  }

  /** True when a request would run beside another suspect. */
  isBlocked(source: SuspectSource, leases: LeaseTable): boolean {
    if (this.countCrashes(source) === 0) return false;
    return leases.list().some(lease => this.countCrashes(lease) > 0);
  }

  /** Time until a guilty request may run again. */
  getRetryAfterMs({fingerprint}: SuspectSource): number {
    const remainingMs =
      fingerprint === undefined ? 0 : this.registry.getRemainingMs(fingerprint);
    // The marks that only the gateway knows of are at most this old.
    return Math.ceil(remainingMs || suspectMarkLifetimeMs);
  }
}
