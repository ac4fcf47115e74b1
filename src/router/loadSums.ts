/** Sums of what several sources report of each backend server. */
import type {ServerReport} from './peerReport.js';
import {noRequestLoad, type ServerLoad} from './serverLoad.js';

const noLoad: ServerLoad = {
  ...noRequestLoad,
  failures: 0,
  answers: 0,
  slowness: 0,
};

/**
 * Keeps sums up to date by the differences between reports, so that a report
 * costs only what it carries.
 *
 * @example
 * const sums = new LoadSums();
 * sums.replace('10.0.0.7', reports);
 * sums.get(computeKey('engine-7'))?.requests
 */
export class LoadSums {
  private readonly sources = new Map<string, Map<number, ServerReport>>();
  private loads = new Map<number, ServerLoad>();
  private readonly changed = new Set<number>();

  /** Sum for a server, by compact key. */
  get(server: number): ServerLoad | undefined {
    return this.loads.get(server);
  }

  has(source: string): boolean {
    return this.sources.has(source);
  }

  /** Takes everything that a source has to say. */
  replace(source: string, reports: Iterable<ServerReport>): void {
    this.remove(source);
    this.update(source, reports);
  }

  /** Takes what a source says of some servers. */
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

  /** Counts a source no more. */
  remove(source: string): void {
    const known = this.sources.get(source);
    this.sources.delete(source);
    for (const report of known?.values() ?? []) this.add(report, -1);
  }

  /**
   * Adds up again; drops rounding errors, outdated slowness and what is known
   * of changes.
   */
  rebuild(): void {
    this.loads = new Map();
    for (const reports of this.sources.values()) {
      for (const report of reports.values()) this.add(report, 1);
    }
    this.changed.clear();
  }

  /** All sums that aren't empty. */
  listAll(): ServerReport[] {
    this.changed.clear();
    return [...this.loads]
      .filter(([, {requests, failures}]) => requests > 0 || failures > 0)
      .map(([key, load]) => ({key, ...load}));
  }

  /** Sums that changed since the last call of either list. */
  drainChanged(): ServerReport[] {
    const reports = [...this.changed].map(key => ({
      key,
      ...(this.loads.get(key) ?? noLoad),
    }));
    this.changed.clear();
    return reports;
  }

  /** Slowness is the highest that was reported since the sums were rebuilt. */
  private add({key, ...report}: ServerReport, sign: 1 | -1): void {
    const load = this.loads.get(key) ?? noLoad;
    this.changed.add(key);
    this.loads.set(key, {
      requests: load.requests + sign * report.requests,
      promptTokens: load.promptTokens + sign * report.promptTokens,
      tightStreams: load.tightStreams + sign * report.tightStreams,
      failures: load.failures + sign * report.failures,
      answers: load.answers + sign * report.answers,
      slowness: Math.max(load.slowness, sign > 0 ? report.slowness : 0),
    });
  }
}
