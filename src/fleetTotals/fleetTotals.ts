/**
 * Sums over the whole fleet to which each router contributes rows of numbers.
 *
 * A router's report contains its own rows. In a fleet with relays, a relay
 * reports the sums over its members and itself, and all routers add up the
 * reports of the relays; without relays, a router adds up the reports of the
 * others and its own rows. The sums are as old as the reports. For that long, a
 * router that changes its relay may be missing or count twice.
 */
import {TotalsTopic, type TopicTotals, type TotalsRow} from './totalsReport.js';

/**
 * Rows of a source that is silent about their topic for this long no longer
 * count, in milliseconds: three full reports.
 */
const sourceExpiryMs = 3_600;
/** Sums are computed at most once in this time, in milliseconds. */
const sumIntervalMs = 100;
/** Topics with few rows, which all reports contain, not only full ones. */
const smallTopics: ReadonlySet<TotalsTopic> = new Set([
  TotalsTopic.ZoneTraffic,
]);

/** Values by key. */
export type TopicSums = ReadonlyMap<number, readonly number[]>;

export interface FleetTotalsOptions {
  /** True if the sums come from relays. */
  readonly usesRelays: () => boolean;
}

/** Rows of one topic as a source has last reported them. */
interface HeardRows {
  readonly rows: readonly TotalsRow[];
  readonly heardAtMs: number;
}

/**
 * Rows of one source. Each topic has an age of its own, because reports with
 * changes only, and those to resting routers, leave out large topics.
 */
type Source = Map<TotalsTopic, HeardRows>;

interface CachedSums {
  readonly sums: TopicSums;
  readonly computedAtMs: number;
}

/**
 * Adds up what the routers of a fleet report.
 *
 * @example
 * totals.register(TotalsTopic.ZoneTraffic, () => [[zoneKey, kbps]]);
 * const [kbps] = totals.list(TotalsTopic.ZoneTraffic).get(zoneKey) ?? [0];
 */
export class FleetTotals {
  private readonly contributions = new Map<
    TotalsTopic,
    () => readonly TotalsRow[]
  >();
  /** Routers that report to this one as their relay. */
  private readonly members = new Map<string, Source>();
  /** Other routers in a fleet without relays. */
  private readonly peers = new Map<string, Source>();
  private readonly relays = new Map<string, Source>();
  private readonly cache = new Map<TotalsTopic, CachedSums>();

  constructor(private readonly options: FleetTotalsOptions) {}

  /** Sets what this router contributes to a topic. */
  register(topic: TotalsTopic, listOwn: () => readonly TotalsRow[]): void {
    this.contributions.set(topic, listOwn);
  }

  /** Returns the sums over the fleet by key, at most 0.1 s old. */
  list(topic: TotalsTopic): TopicSums {
    const nowMs = performance.now();
    const cached = this.cache.get(topic);
    if (cached && nowMs - cached.computedAtMs < sumIntervalMs) {
      return cached.sums;
    }
    const sums = sumRows(this.listFleetRows(topic));
    this.cache.set(topic, {sums, computedAtMs: nowMs});
    return sums;
  }

  /**
   * Lists this router's rows for its report.
   *
   * @param isFull - false for a report with changes only, which contains the
   *     topics with few rows
   */
  listOwn(isFull: boolean): TopicTotals[] {
    return this.listTopics(isFull).map(topic => ({
      topic,
      rows: this.listOwnRows(topic),
    }));
  }

  /** Lists the sums over this router and its members, for its relay report. */
  listRelayed(isFull: boolean): TopicTotals[] {
    return this.listTopics(isFull).map(topic => ({
      topic,
      rows: joinRows(sumRows(this.listMemberRows(topic))),
    }));
  }

  /**
   * Records the report of a router.
   *
   * @param isForRelay - true if this router relays the report
   */
  recordPeer(
    host: string,
    totals: readonly TopicTotals[],
    isForRelay: boolean,
  ): void {
    record(isForRelay ? this.members : this.peers, host, totals);
  }

  /** Records the report of a relay. */
  recordRelay(host: string, totals: readonly TopicTotals[]): void {
    record(this.relays, host, totals);
  }

  private listTopics(isFull: boolean): TotalsTopic[] {
    return [...this.contributions.keys()].filter(
      topic => isFull || smallTopics.has(topic),
    );
  }

  private listOwnRows(topic: TotalsTopic): readonly TotalsRow[] {
    return this.contributions.get(topic)?.() ?? [];
  }

  private listMemberRows(topic: TotalsTopic): TotalsRow[] {
    return [...listRows(this.members, topic), ...this.listOwnRows(topic)];
  }

  private listFleetRows(topic: TotalsTopic): TotalsRow[] {
    if (!this.options.usesRelays()) {
      return [...listRows(this.peers, topic), ...this.listOwnRows(topic)];
    }
    const relayed = listRows(this.relays, topic);
    // The sums of the own relay contain this router's rows.
    const isCounted = this.members.size === 0 && this.relays.size > 0;
    return isCounted ? relayed : [...relayed, ...this.listMemberRows(topic)];
  }
}

function record(
  sources: Map<string, Source>,
  host: string,
  totals: readonly TopicTotals[],
): void {
  const source = sources.get(host) ?? new Map<TotalsTopic, HeardRows>();
  sources.set(host, source);
  const heardAtMs = performance.now();
  for (const {topic, rows} of totals) source.set(topic, {rows, heardAtMs});
}

/** Lists the rows of all sources, and removes old ones. */
function listRows(
  sources: Map<string, Source>,
  topic: TotalsTopic,
): TotalsRow[] {
  const sinceMs = performance.now() - sourceExpiryMs;
  const rows: TotalsRow[] = [];
  for (const [host, source] of sources) {
    const heard = source.get(topic);
    if (!heard) continue;
    if (heard.heardAtMs >= sinceMs) rows.push(...heard.rows);
    else source.delete(topic);
    if (source.size === 0) sources.delete(host);
  }
  return rows;
}

function sumRows(rows: readonly TotalsRow[]): Map<number, number[]> {
  const sums = new Map<number, number[]>();
  for (const [key, ...values] of rows) {
    const sum = sums.get(key);
    if (!sum) sums.set(key, values);
    else values.forEach((value, index) => (sum[index] += value));
  }
  return sums;
}

function joinRows(sums: TopicSums): TotalsRow[] {
  return [...sums].map(([key, values]) => [key, ...values]);
}
