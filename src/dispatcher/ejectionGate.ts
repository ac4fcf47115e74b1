/** Limits an ejected backend server to probes. */
import type {BackendServer, Configuration} from '../config/configuration.js';
import type {Acquire, Release} from '../protocol/leaseMessages.js';
import type {EjectionRegistry} from './ejectionRegistry.js';
import type {HeldLease} from './heldLease.js';
import type {LeaseTable} from './leaseTable.js';
import {EjectionReason, ServerHealth, type Ejection} from './serverHealth.js';

/** Combines the health of one server with the announced ejections of all. */
export class EjectionGate {
  private readonly health = new ServerHealth();

  constructor(
    private readonly id: string,
    private readonly registry: EjectionRegistry,
    private readonly leases: LeaseTable,
  ) {}

  /**
   * Starts as a new owner, with the ejection that the previous owner announced.
   */
  reset(): void {
    this.health.reset(this.registry.isEjected(this.id));
  }

  /** The ejection in force, if any. */
  getEjection(): Ejection | undefined {
    return this.health.getEjection();
  }

  /** True while the server is announced to gateways as ejected. */
  isAnnouncedAsEjected(): boolean {
    return this.health.isAnnouncedAsEjected();
  }

  /**
   * True if the request can be granted a lease only as a probe. An ejection is
   * ignored if too many servers are ejected, as seen by this dispatcher or the
   * gateway of the request; the ejection of an unreachable server never is.
   */
  isProbeOnly(
    acquire: Acquire,
    server: BackendServer,
    configuration: Configuration,
  ): boolean {
    const ejection = this.health.getEjection();
    if (!ejection) return false;
    if (ejection.reason === EjectionReason.Unreachable) return true;
    if (acquire.ignoreEjection) return false;
    return !this.registry.isIgnored(server, configuration);
  }

  /** True if one more lease may be granted as a probe. */
  isProbeDue(): boolean {
    return this.health.isProbeDue(Date.now(), id => this.leases.isHeld(id));
  }

  /** Records that a lease was granted as a probe. */
  startProbe(leaseId: string): void {
    this.health.startProbe(leaseId, Date.now());
  }

  /** Records the end of a lease, and announces a change of the ejection. */
  recordRelease(lease: HeldLease, release: Release): void {
    this.health.recordRelease(lease, release);
    this.announce();
  }

  /** Records that the server answered a call of the dispatcher itself. */
  recordAnswer(): void {
    this.health.recordAnswer();
    this.announce();
  }

  /** Asks gateways for probes if none came for a while. */
  advance(nowMs: number): void {
    this.health.advance(nowMs);
    this.announce();
  }

  private announce(): void {
    this.registry.announce(this.id, this.health.isAnnouncedAsEjected());
  }
}
