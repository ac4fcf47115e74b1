/** Decides whether a request may use a backend server at all. */
import type {BackendServer, Configuration} from '../config/configuration.js';
import type {SuspectRegistry} from '../node/suspectRegistry.js';
import {LeaseRefusal, type Acquire} from '../protocol/leaseMessages.js';
import type {EjectionGate} from './ejectionGate.js';
import type {LeaseTable} from './leaseTable.js';
import {SuspectRules} from './suspectRules.js';

export interface AcquireRulesOptions {
  suspects: SuspectRegistry;
  health: EjectionGate;
  leases: LeaseTable;
}

/** Combines ownership, leaving marks, suspect marks and ejections. */
export class AcquireRules {
  /** True while this dispatcher owns the backend server. */
  owned = false;
  /** True while the backend server gets no new work. */
  leaving = false;
  private readonly suspects: SuspectRules;
  private readonly health: EjectionGate;
  private readonly leases: LeaseTable;

  constructor({suspects, health, leases}: AcquireRulesOptions) {
    this.suspects = new SuspectRules(suspects);
    this.health = health;
    this.leases = leases;
  }

  /** True when leases may be granted. */
  isOpen(): boolean {
    return this.owned && !this.leaving;
  }

  /** True while the request gets a lease only as a probe. */
  isRestricted(
    acquire: Acquire,
    server: BackendServer,
    configuration: Configuration,
  ): boolean {
    return this.health.isRestricted(acquire, server, configuration);
  }

  /** Reason to refuse an acquisition before it is queued. */
  check(acquire: Acquire, restricted: boolean): LeaseRefusal | undefined {
    if (!this.owned) return LeaseRefusal.Moved;
    if (this.leaving) return LeaseRefusal.Leaving;
    if (this.suspects.isGuilty(acquire)) {
      return LeaseRefusal.RequestCrashesServers;
    }
    // The gateway has given up already, or has used the id before.
    if (this.leases.has(acquire.leaseId)) return LeaseRefusal.DeadlineExceeded;
    if (restricted && !this.health.isProbeDue()) return LeaseRefusal.Ejected;
    return undefined;
  }

  /** Reason not to queue an acquisition that can't be granted at once. */
  checkQueueing(
    acquire: Acquire,
    restricted: boolean,
  ): LeaseRefusal | undefined {
    if (restricted) return LeaseRefusal.Ejected;
    if (!acquire.immediate) return undefined;
    return this.isRunnable(acquire)
      ? LeaseRefusal.Busy
      : LeaseRefusal.SuspectInFlight;
  }

  /** False for guilty requests, and for a suspect beside another one. */
  isRunnable(acquire: Acquire): boolean {
    if (this.suspects.isGuilty(acquire)) return false;
    return !this.suspects.isBlocked(acquire, this.leases);
  }

  /** Reason to refuse an acquisition that has been queued. */
  checkWaiting(
    acquire: Acquire,
    restricted: boolean,
  ): LeaseRefusal | undefined {
    if (this.suspects.isGuilty(acquire)) {
      return LeaseRefusal.RequestCrashesServers;
    }
    return restricted ? LeaseRefusal.Ejected : undefined;
  }

  /** When a refused request may come again; undefined: it's up to the queue. */
  getRetryAfterMs(acquire: Acquire, refusal: LeaseRefusal): number | undefined {
    return refusal === LeaseRefusal.RequestCrashesServers
      ? this.suspects.getRetryAfterMs(acquire)
      : undefined;
  }
}
