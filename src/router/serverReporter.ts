/** Reports about backend servers to the other routers. */
import {computeCompactKey} from './compactKey.js';
import type {ServerReport} from './peerReport.js';
import {isSameBacklog} from './prefillBacklog.js';
import type {ServerDirectory} from './serverDirectory.js';
import type {ServerLoadTracker} from './serverLoads.js';
import type {ServerOutcomes} from './serverOutcomes.js';

/** Smallest differences that are reported before the next full report. */
const minOutcomeChange = 0.6;
const minSlownessChange = 0.3;
/** Fewer recent failures don't make a server worth reporting. */
const minReportedFailures = 0.2;

/** Remembers the last report of each server, to report only changes. */
export class ServerReporter {
  private readonly reported = new Map<number, ServerReport>();

  constructor(
    private readonly directory: ServerDirectory,
    private readonly loads: ServerLoadTracker,
    private readonly outcomes: ServerOutcomes,
  ) {}

  /** Reports of all servers with load, failures or slowness. */
  listAll(): ServerReport[] {
    this.reported.clear();
    const reports = this.listCurrent();
    for (const report of reports) this.reported.set(report.key, report);
    return reports;
  }

  /** The same, without recording them as reported. */
  listCurrent(): ServerReport[] {
    return [...this.directory.listAll()]
      .map(({id}) => this.build(id))
      .filter(isReportable);
  }

  /** The last report of each server. */
  listReported(): ServerReport[] {
    return [...this.reported.values()];
  }

  /** Reports of servers that changed since they were last reported. */
  listChanges(): ServerReport[] {
    const reports: ServerReport[] = [];
    for (const {id} of this.directory.listAll()) {
      const report = this.build(id);
      const last = this.reported.get(report.key);
      if (last ? !isSignificantChange(last, report) : !isReportable(report))
        continue;
      this.reported.set(report.key, report);
      reports.push(report);
    }
    return reports;
  }

  private build(id: string): ServerReport {
    return {
      key: computeCompactKey(id),
      ...this.loads.get(id),
      ...this.outcomes.get(id),
    };
  }
}

function isReportable(report: ServerReport): boolean {
  const {requests, failures, slowness} = report;
  return requests > 0 || failures > minReportedFailures || slowness > 0;
}

function isSignificantChange(
  last: ServerReport,
  report: ServerReport,
): boolean {
  return (
    last.requests !== report.requests ||
    !isSameBacklog(last.backlog, report.backlog) ||
    Math.abs(last.failures - report.failures) > minOutcomeChange ||
    Math.abs(last.slowness - report.slowness) > minSlownessChange
  );
}
