/** Sums of the loads that several sources report for each backend server. */
import type {ServerReport} from './peerReport.js';
import {addBacklogs} from './prefillBacklog.js';
import {emptyRequestLoad, type ServerLoad} from './serverLoad.js';

const emptyLoad: ServerLoad = {
  ...emptyRequestLoad,
  failures: 0,
  answers: 0,
  slowness: 0,
};

/**
 * Updates sums incrementally by the difference between successive reports, so
 * that the cost of a report depends on its size only.
 *
 * @example
 * const sums = new LoadSums();
 * sums.replace('10.0.0.7', reports);
 * sums.get(computeCompactKey('engine-7'))?.requests
 */
export class LoadSums {
  private readonly sources = new Map<string, Map<number, ServerReport>>();
  private loads = new Map<number, ServerLoad>();
  private readonly changed = new Set<number>();

  /**
   * Returns the sum for a server.
   *
   * @param server - compact key of the server's id
   */
  get(server: number): ServerLoad | undefined {
    return this.loads.get(server);
  }

  has(source: string): boolean {
    return this.sources.has(source);
  }

  /** Replaces all reports of a source. */
  replace(source: string, reports: Iterable<ServerReport>): void {
    this.remove(source);
    this.update(source, reports);
  }

  /** Replaces the reports of a source for some servers. */
  update(source: string, reports: Iterable<ServerReport>): void {
    const known = this.sources.get(source) ?? new Map<number, ServerReport>();
    this.sources.set(source, known);
    for (const report of reports) {
      const last = known.get(report.key);
      if (last) this.add(last, -1);
      this.add(report, 1);
      known.set(report.key, report);
    }
  }

  /** Removes all reports of a source. */
  remove(source: string): void {
    const known = this.sources.get(source);
    this.sources.delete(source);
    for (const report of known?.values() ?? []) this.add(report, -1);
  }

  /**
   * Recomputes all sums from the reports. This clears accumulated rounding
   * errors, outdated slowness and the set of changed servers.
   */
  rebuild(): void {
    this.loads = new Map();
    for (const reports of this.sources.values()) {
      for (const report of reports.values()) this.add(report, 1);
    }
    this.changed.clear();
  }

  /** Lists all non-empty sums. */
  listAll(): ServerReport[] {
    this.changed.clear();
    return [...this.loads]
      .filter(([, {requests, failures}]) => requests > 0 || failures > 0)
      .map(([key, load]) => ({key, ...load}));
  }

  /** Lists the sums changed since the last call of this method or `listAll`. */
  drainChanged(): ServerReport[] {
    const reports = [...this.changed].map(key => ({
      key,
      ...(this.loads.get(key) ?? emptyLoad),
    }));
    this.changed.clear();
    return reports;
  }

  /** Slowness is the maximum reported since the last rebuild. */
  private add({key, ...report}: ServerReport, sign: 1 | -1): void {
    const load = this.loads.get(key) ?? emptyLoad;
    this.changed.add(key);
    this.loads.set(key, {
      requests: load.requests + sign * report.requests,
      backlog: addBacklogs(load.backlog, report.backlog, sign),
      tightStreams: load.tightStreams + sign * report.tightStreams,
      failures: load.failures + sign * report.failures,
      answers: load.answers + sign * report.answers,
      slowness: Math.max(load.slowness, sign > 0 ? report.slowness : 0),
    });
  }
}
