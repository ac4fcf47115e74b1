/** Aggregates log lines into request statistics over time. */
import {LatencyHistogram} from '../node/latencyHistogram.js';
import type {LogLine} from './logLines.js';

/** Number of periods that the reported time span is divided into. */
const periodCount = 40;
const minPeriodMs = 1_000;
/** Label of log lines without a route. */
const missingRoute = '(none)';
/** The busiest routes are shown separately, the others under one label. */
const maxShownRoutes = 8;
const otherRoutesLabel = '(others)';

export enum RequestOutcome {
  Answered = 'answered',
  /** Answered later than the target. */
  Late = 'late',
  Refused = 'refused',
  /** The stream broke, or the caller disconnected. */
  Unfinished = 'unfinished',
}

/** Number of requests in a period by route and outcome. */
export interface OutcomeCount {
  readonly time: string;
  readonly route: string;
  readonly outcome: RequestOutcome;
  readonly count: number;
}

/** Quantile of the time to the answer or the first event. */
export interface LatencyQuantile {
  readonly time: string;
  readonly route: string;
  readonly quantile: string;
  readonly ms: number;
}

export interface ServerCount {
  readonly time: string;
  readonly server: string;
  readonly count: number;
}

export interface ReasonCount {
  readonly reason: string;
  readonly count: number;
}

export interface RequestStatistics {
  readonly outcomes: readonly OutcomeCount[];
  readonly latencyQuantiles: readonly LatencyQuantile[];
  readonly servers: readonly ServerCount[];
  readonly reasons: readonly ReasonCount[];
  /** Lines that daemons suppressed to limit the log volume. */
  readonly leftOut: number;
}

/** Events that end a request, and the outcome that each stands for. */
export const finalEvents: ReadonlyMap<string, RequestOutcome> = new Map([
  ['answered', RequestOutcome.Answered],
  ['refused', RequestOutcome.Refused],
  ['stream broken off', RequestOutcome.Unfinished],
  ['caller gone', RequestOutcome.Unfinished],
]);

/**
 * Counts requests by period, route, outcome and server.
 *
 * @param lines - in chronological order
 * @param targetMs - an answer or first event after this time counts as late
 * @example
 * computeStatistics(readLogLines(texts), 500).reasons[0].reason === 'badKey'
 */
export function computeStatistics(
  lines: readonly LogLine[],
  targetMs: number,
): RequestStatistics {
  const findPeriod = buildPeriodLookup(lines);
  const busiestRoutes = findBusiestRoutes(lines);
  const outcomes = new Counter<Omit<OutcomeCount, 'count'>>();
  const servers = new Counter<Omit<ServerCount, 'count'>>();
  const reasons = new Counter<Omit<ReasonCount, 'count'>>();
  const histograms = new Map<string, LatencyHistogram>();
  let leftOut = 0;
  for (const line of lines) {
    if (line.event === 'lines left out') leftOut += line.count ?? 0;
    let outcome = finalEvents.get(line.event);
    if (!outcome) continue;
    const {server, reason} = line;
    const routeName = line.route ?? missingRoute;
    const route = busiestRoutes.has(routeName) ? routeName : otherRoutesLabel;
    const time = findPeriod(line);
    const waitMs = line.firstEventMs ?? line.ms;
    if (outcome === RequestOutcome.Answered && waitMs !== undefined) {
      if (waitMs > targetMs) outcome = RequestOutcome.Late;
      const key = JSON.stringify([time, route]);
      const histogram = histograms.get(key) ?? new LatencyHistogram(2);
      histograms.set(key, histogram);
      histogram.record(waitMs);
    }
    outcomes.add({time, route, outcome});
    if (server !== undefined) servers.add({time, server});
    if (reason !== undefined) reasons.add({reason});
  }
  return {
    outcomes: outcomes.list(),
    latencyQuantiles: [...histograms].flatMap(([key, histogram]) =>
      listQuantiles(key, histogram),
    ),
    servers: servers.list(),
    reasons: reasons.list(),
    leftOut,
  };
}

function findBusiestRoutes(lines: readonly LogLine[]): Set<string> {
  const counts = new Map<string, number>();
  for (const {event, route = missingRoute} of lines) {
    if (!finalEvents.has(event)) continue;
    counts.set(route, (counts.get(route) ?? 0) + 1);
  }
  const sorted = [...counts].sort(([, a], [, b]) => b - a);
  return new Set(sorted.slice(0, maxShownRoutes).map(([route]) => route));
}

function listQuantiles(
  key: string,
  histogram: LatencyHistogram,
): LatencyQuantile[] {
  const [time, route] = JSON.parse(key) as [string, string];
  const {p50Ms, p95Ms} = histogram.describe();
  return [
    {time, route, quantile: 'p50', ms: p50Ms},
    {time, route, quantile: 'p95', ms: p95Ms},
  ];
}

/** Returns a function that finds the start of a line's period. */
function buildPeriodLookup(
  lines: readonly LogLine[],
): (line: LogLine) => string {
  const firstMs = Date.parse(lines[0]?.time ?? '');
  const lastMs = Date.parse(lines.at(-1)?.time ?? '');
  const periodMs = Math.max(minPeriodMs, (lastMs - firstMs) / periodCount);
  return ({time}) => {
    const index = Math.floor((Date.parse(time) - firstMs) / periodMs);
    return new Date(firstMs + index * periodMs).toISOString();
  };
}

/** Counts items by value. */
class Counter<T extends object> {
  private readonly counts = new Map<string, number>();

  add(item: T): void {
    const key = JSON.stringify(item);
    this.counts.set(key, (this.counts.get(key) ?? 0) + 1);
  }

  list(): Array<T & {count: number}> {
    return [...this.counts].map(([key, count]) => ({
      ...(JSON.parse(key) as T),
      count,
    }));
  }
}
