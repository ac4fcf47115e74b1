/** Everything that is learned of a backend server from its releases. */
import type {Release} from '../protocol/leaseMessages.js';
import {CrashDetector} from './crashDetector.js';
import {EjectionGate} from './ejectionGate.js';
import type {HeldLease} from './heldLease.js';
import type {LeaseTable} from './leaseTable.js';
import {LeaseUse} from './leaseUse.js';
import type {SharedState} from './sharedState.js';

export interface ServerWatchOptions {
  id: string;
  shared: SharedState;
  leases: LeaseTable;
  getAddress: () => string;
}

/** Passes releases on to the parts that learn from them. */
export class ServerWatch {
  readonly use: LeaseUse;
  readonly health: EjectionGate;
  private readonly leases: LeaseTable;
  private readonly crashes: CrashDetector;

  constructor({id, shared, leases, getAddress}: ServerWatchOptions) {
    this.leases = leases;
    this.use = new LeaseUse(shared.lengths, shared.stats);
    this.health = new EjectionGate(id, shared.ejections, leases);
    this.crashes = new CrashDetector({
      isRefusing: () => shared.engines.isRefusing(getAddress()),
      onCrash: inFlight =>
        shared.crashes.reportCrash(id, listFingerprints(inFlight)),
    });
  }

  /** Takes the end of a lease that is no longer held. */
  recordRelease(lease: HeldLease, release: Release): void {
    this.use.recordRelease(lease, release);
    this.health.recordRelease(lease, release);
    this.crashes.recordRelease(lease, release, this.leases.list());
  }
}

function listFingerprints(leases: readonly HeldLease[]): string[] {
  return leases.flatMap(({fingerprint}) => fingerprint ?? []);
}
