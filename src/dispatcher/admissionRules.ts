/** Decides whether a request may use a backend server at all. */
import type {BackendServer, Configuration} from '../config/configuration.js';
import type {SuspectRegistry} from '../node/suspectRegistry.js';
import {LeaseRefusal, type Acquire} from '../protocol/leaseMessages.js';
import type {EjectionGate} from './ejectionGate.js';
import type {LeaseTable} from './leaseTable.js';
import {SuspectRules} from './suspectRules.js';

export interface AdmissionRulesOptions {
  suspects: SuspectRegistry;
  health: EjectionGate;
  leases: LeaseTable;
}

/** Combines ownership, the leaving state, suspect marks and ejections. */
export class AdmissionRules {
  /** True while this dispatcher owns the backend server. */
  owned = false;
  /** True while the backend server is leaving and gets no new work. */
  leaving = false;
  private readonly suspects: SuspectRules;
  private readonly health: EjectionGate;
  private readonly leases: LeaseTable;

  constructor({suspects, health, leases}: AdmissionRulesOptions) {
    this.suspects = new SuspectRules(suspects);
    this.health = health;
    this.leases = leases;
  }

  /** True when leases may be granted. */
  canGrant(): boolean {
    return this.owned && !this.leaving;
  }

  /** True if the request can be granted a lease only as a probe. */
  isProbeOnly(
    acquire: Acquire,
    server: BackendServer,
    configuration: Configuration,
  ): boolean {
    return this.health.isProbeOnly(acquire, server, configuration);
  }

  /** Reason to refuse an acquisition before it is queued. */
  check(acquire: Acquire, probeOnly: boolean): LeaseRefusal | undefined {
    if (!this.owned) return LeaseRefusal.Moved;
    if (this.leaving) return LeaseRefusal.Leaving;
    if (this.suspects.hasReachedCrashLimit(acquire)) {
      return LeaseRefusal.RequestCrashesServers;
    }
    // The gateway has already released this lease id, or has used it before.
    if (this.leases.has(acquire.leaseId)) return LeaseRefusal.DeadlineExceeded;
    if (probeOnly && !this.health.isProbeDue()) return LeaseRefusal.Ejected;
    return undefined;
  }

  /** Reason not to queue an acquisition that can't be granted at once. */
  checkQueueing(
    acquire: Acquire,
    probeOnly: boolean,
  ): LeaseRefusal | undefined {
    if (probeOnly) return LeaseRefusal.Ejected;
    if (!acquire.immediate) return undefined;
    return this.isRunnable(acquire)
      ? LeaseRefusal.Busy
      : LeaseRefusal.SuspectInFlight;
  }

  /**
   * False for a request at the crash limit, and for a suspect while another
   * suspect is in flight.
   */
  isRunnable(acquire: Acquire): boolean {
    if (this.suspects.hasReachedCrashLimit(acquire)) return false;
    return !this.suspects.isBlockedBySuspect(acquire, this.leases);
  }

  /** Reason to refuse an acquisition that is already queued. */
  checkQueued(acquire: Acquire, probeOnly: boolean): LeaseRefusal | undefined {
    if (this.suspects.hasReachedCrashLimit(acquire)) {
      return LeaseRefusal.RequestCrashesServers;
    }
    return probeOnly ? LeaseRefusal.Ejected : undefined;
  }

  /**
   * Delay after which a refused request may be retried; undefined if the queue
   * estimates it.
   */
  getRetryAfterMs(acquire: Acquire, refusal: LeaseRefusal): number | undefined {
    return refusal === LeaseRefusal.RequestCrashesServers
      ? this.suspects.getRetryAfterMs(acquire)
      : undefined;
  }
}
