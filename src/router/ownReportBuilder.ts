/** Builds the reports that this router sends about itself. */
import type {FleetTotals} from '../fleetTotals/fleetTotals.js';
import type {CrashEvidence} from './crashReports.js';
import type {CrashQuarantine} from './crashQuarantine.js';
import type {
  PeerIdentity,
  PeerReport,
  RouterStatus,
  ServerReport,
  StateVersions,
} from './peerReport.js';
import type {ServerLimitReport, ServerLimits} from './serverLimits.js';
import type {ServerReporter} from './serverReporter.js';
import type {ServerSelector} from './serverSelector.js';
import type {SharedNotices} from './sharedNotices.js';

export interface OwnReportBuilderOptions {
  readonly reporter: ServerReporter;
  readonly selector: ServerSelector;
  readonly notices: SharedNotices;
  readonly quarantine: CrashQuarantine;
  readonly limits: ServerLimits;
  readonly totals: FleetTotals;
  readonly getStatus: () => RouterStatus;
  readonly getVersions: () => StateVersions;
}

/** Builds and numbers the reports of this router process. */
export class OwnReportBuilder {
  readonly incarnation = Math.floor(Math.random() * 2 ** 32);
  private number = 0;

  constructor(private readonly options: OwnReportBuilderOptions) {}

  /** Sequence number of the latest report. */
  get sequence(): number {
    return this.number;
  }

  get status(): RouterStatus {
    return this.options.getStatus();
  }

  get versions(): StateVersions {
    return this.options.getVersions();
  }

  /** Returns the compact keys of notices that are being broadcast. */
  listNotices(): number[] {
    return this.options.notices.listPending();
  }

  /** Returns evidence against suspects; see `CrashQuarantine.listEvidence`. */
  listCrashEvidence(isFull: boolean): CrashEvidence {
    return this.options.quarantine.listEvidence(isFull);
  }

  /** Returns limits of backend servers; see `ServerLimits.listReports`. */
  listLimits(isFull: boolean): ServerLimitReport[] {
    return this.options.limits.listReports(isFull);
  }

  /** Returns the server loads as reported up to the latest report. */
  listReported(): ServerReport[] {
    return this.options.reporter.listReported();
  }

  /**
   * Builds the next regular report: a full one when an identity is given, else
   * one with the changes since the last.
   *
   * @param isForRelay - the receiver relays the report to other routers
   */
  build(isForRelay: boolean, identity?: PeerIdentity): PeerReport {
    const {reporter, selector} = this.options;
    this.number += 1;
    return {
      ...this.buildHeader(isForRelay, identity),
      servers: identity ? reporter.listAll() : reporter.listChanges(),
      placements: selector.drainPlacements(),
    };
  }

  /**
   * Builds a full report for a single router that does not know this one yet.
   * The other routers do not get it, so it is not taken as the base of later
   * changes.
   */
  buildGreeting(isForRelay: boolean, identity: PeerIdentity): PeerReport {
    return {
      ...this.buildHeader(isForRelay, identity),
      servers: this.options.reporter.listCurrent(),
      placements: [],
    };
  }

  private buildHeader(
    isForRelay: boolean,
    identity?: PeerIdentity,
  ): Omit<PeerReport, 'servers' | 'placements'> {
    const {incarnation, sequence, status, versions} = this;
    return {
      incarnation,
      sequence,
      isForRelay,
      status,
      ...versions,
      notices: this.listNotices(),
      crashEvidence: this.listCrashEvidence(identity !== undefined),
      limits: this.listLimits(identity !== undefined),
      totals: this.options.totals.listOwn(identity !== undefined),
      identity,
    };
  }
}
