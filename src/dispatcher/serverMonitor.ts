/** Monitors a backend server by the ends of its leases. */
import type {Release} from '../protocol/leaseMessages.js';
import {CrashDetector} from './crashDetector.js';
import {EjectionGate} from './ejectionGate.js';
import type {HeldLease} from './heldLease.js';
import type {LeaseTable} from './leaseTable.js';
import {LeaseUsageTracker} from './leaseUsageTracker.js';
import type {SharedState} from './sharedState.js';

export interface ServerMonitorOptions {
  id: string;
  shared: SharedState;
  leases: LeaseTable;
  getAddress: () => string;
}

/** Passes each release on to usage tracking, health and crash detection. */
export class ServerMonitor {
  readonly usageTracker: LeaseUsageTracker;
  readonly health: EjectionGate;
  private readonly leases: LeaseTable;
  private readonly crashes: CrashDetector;

  constructor({id, shared, leases, getAddress}: ServerMonitorOptions) {
    this.leases = leases;
    this.usageTracker = new LeaseUsageTracker(shared.lengths, shared.stats);
    this.health = new EjectionGate(id, shared.ejections, leases);
    this.crashes = new CrashDetector({
      isRefusingConnections: () =>
        shared.engines.isRefusingConnections(getAddress()),
      onCrash: inFlight =>
        shared.crashes.reportCrash(id, listFingerprints(inFlight)),
    });
  }

  /** Records the end of a lease that is no longer held. */
  recordRelease(lease: HeldLease, release: Release): void {
    this.usageTracker.recordRelease(lease, release);
    this.health.recordRelease(lease, release);
    this.crashes.recordRelease(lease, release, this.leases.list());
  }
}

function listFingerprints(leases: readonly HeldLease[]): string[] {
  return leases.flatMap(({fingerprint}) => fingerprint ?? []);
}
