/** Limits an ejected backend server to probes. */
import type {BackendServer, Configuration} from '../config/configuration.js';
import type {Acquire, Release} from '../protocol/leaseMessages.js';
import type {EjectionBoard} from './ejectionBoard.js';
import type {HeldLease} from './heldLease.js';
import type {LeaseTable} from './leaseTable.js';
import {EjectionReason, ServerHealth, type Ejection} from './serverHealth.js';

/** Joins the health of one server with the announcements of all. */
export class EjectionGate {
  private readonly health = new ServerHealth();

  constructor(
    private readonly id: string,
    private readonly board: EjectionBoard,
    private readonly leases: LeaseTable,
  ) {}

  /** Starts as a new owner, with what the former owner announced. */
  reset(): void {
    this.health.reset(this.board.isEjected(this.id));
  }

  /** The ejection in force, if any. */
  getEjection(): Ejection | undefined {
    return this.health.getEjection();
  }

  /** True when gateways are told that the server is ejected. */
  isAnnounced(): boolean {
    return this.health.isAnnounced();
  }

  /**
   * True while a request gets a lease only as a probe. Ejections of too many
   * servers are ignored, as this dispatcher or the request's gateway sees them,
   * but never that of a server which accepts no connection.
   */
  isRestricted(
    acquire: Acquire,
    server: BackendServer,
    configuration: Configuration,
  ): boolean {
    const ejection = this.health.getEjection();
    if (!ejection) return false;
    if (ejection.reason === EjectionReason.Unreachable) return true;
    if (acquire.ignoreEjection) return false;
    return !this.board.isIgnored(server, configuration);
  }

  /** True when one more lease may be granted as a probe. */
  isProbeDue(): boolean {
    return this.health.isProbeDue(Date.now(), id => this.leases.isHeld(id));
  }

  /** Notes that a lease was granted as a probe. */
  startProbe(leaseId: string): void {
    this.health.startProbe(leaseId, Date.now());
  }

  /** Takes the end of a lease into account and tells members of changes. */
  recordRelease(lease: HeldLease, release: Release): void {
    this.health.recordRelease(lease, release);
    this.announce();
  }

  /** Notes that the server answered the dispatcher itself. */
  recordAnswer(): void {
    this.health.recordAnswer();
    this.announce();
  }

  /** Notes that time has passed. */
  advance(nowMs: number): void {
    this.health.advance(nowMs);
    this.announce();
  }

  private announce(): void {
    this.board.announce(this.id, this.health.isAnnounced());
  }
}
