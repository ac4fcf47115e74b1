/** Builds what this router tells the others of itself. */
import type {CrashSuspects} from './crashSuspects.js';
import type {
  PeerIdentity,
  PeerReport,
  RouterStatus,
  ServerReport,
  StateVersions,
} from './peerReport.js';
import type {ServerReporter} from './serverReporter.js';
import type {ServerSelector} from './serverSelector.js';
import type {SharedNotices} from './sharedNotices.js';

export interface OwnReportsOptions {
  readonly reporter: ServerReporter;
  readonly selector: ServerSelector;
  readonly suspects: CrashSuspects;
  readonly notices: SharedNotices;
  readonly getStatus: () => RouterStatus;
  readonly getVersions: () => StateVersions;
}

/** Numbers the reports of one process. */
export class OwnReports {
  readonly incarnation = Math.floor(Math.random() * 2 ** 32);
  private number = 0;

  constructor(private readonly options: OwnReportsOptions) {}

  /** Number of the newest report. */
  get sequence(): number {
    return this.number;
  }

  get status(): RouterStatus {
    return this.options.getStatus();
  }

  get versions(): StateVersions {
    return this.options.getVersions();
  }

  /** Compact keys of what all routers must hear soon. */
  listNotices(): number[] {
    return this.options.notices.listTold();
  }

  /** What was said of servers up to the newest report. */
  listReported(): ServerReport[] {
    return this.options.reporter.listReported();
  }

  /** For all that get reports regularly: everything, or what changed. */
  build(isForRelay: boolean, identity?: PeerIdentity): PeerReport {
    const {reporter, selector, suspects} = this.options;
    this.number += 1;
    return {
      ...this.buildHead(isForRelay, identity),
      servers: identity ? reporter.listAll() : reporter.listChanges(),
      placements: selector.drainPlacements(),
      suspects: suspects.drainFresh(),
    };
  }

  /**
   * For a single router that doesn't know this one: everything, without
   * counting as said to the others.
   */
  buildGreeting(isForRelay: boolean, identity: PeerIdentity): PeerReport {
    return {
      ...this.buildHead(isForRelay, identity),
      servers: this.options.reporter.listCurrent(),
      placements: [],
      suspects: [],
    };
  }

  private buildHead(
    isForRelay: boolean,
    identity?: PeerIdentity,
  ): Omit<PeerReport, 'servers' | 'placements' | 'suspects'> {
    const {incarnation, sequence, status, versions} = this;
    return {
      incarnation,
      sequence,
      isForRelay,
      status,
      ...versions,
      notices: this.listNotices(),
      identity,
    };
  }
}
