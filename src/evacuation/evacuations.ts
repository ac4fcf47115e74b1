/**
 * Availability zones whose backend servers get no requests because the operator
 * has asked to evacuate them.
 *
 * The newest position of the platform wins, whether it comes from an answer of
 * the platform or from the report of another router. What is known stays in
 * force while nothing newer arrives, so that an evacuation outlasts an outage of
 * the platform.
 *
 * A platform restored from an old copy may lack an evacuation until the operator
 * writes it again. A zone that was evacuated before stays so for
 * `restoredPeriodMs` after this router learns of the restore, unless it is seen
 * to be returned in the new epoch, and beyond that until the platform has been
 * read again. A router that has started since takes this from reports, also from
 * those of routers that don't know of the restore yet.
 */
import type {Log} from '../node/log.js';
import {assertNever} from '../protocol/assertNever.js';
import {
  isBefore,
  type PublishedPosition,
} from '../protocol/publishedPosition.js';
import {
  ZoneStatus,
  type EvacuationReport,
  type ZoneReport,
} from './evacuationReport.js';
import {
  ItemKind,
  UpdateKind,
  type EvacuationItem,
  type PositionedUpdate,
} from './evacuationUpdate.js';

/**
 * Time for which an evacuation outlasts its absence from a restored platform, in
 * milliseconds. The operator writes it again within this time.
 */
const restoredPeriodMs = 6_000;
/**
 * Time for which reports contain the return of a zone, in milliseconds, so that
 * a router that starts meanwhile knows that the servers there have been idle.
 */
const returnReportPeriodMs = 60_000;

export interface EvacuationsOptions {
  /** Zones of the deployment; empty where the settings don't list them. */
  readonly zones: readonly string[];
  /**
   * Time for which a router that starts beside others waits for their
   * evacuations after it has read the platform's, in milliseconds.
   */
  readonly peerWaitMs: number;
  readonly log: Log;
}

/** What is known of a zone; nothing of one that was never evacuated. */
type ZoneRecord =
  | {readonly status: ZoneStatus.Evacuated | ZoneStatus.Unreadable}
  | {readonly status: ZoneStatus.Retained; readonly untilMs: number}
  | {
      readonly status: ZoneStatus.Returned;
      readonly atMs: number;
      readonly epoch: number;
    };

/** Where a change was learned of, for the log. */
interface ChangeSource {
  readonly source: string;
  readonly position: PublishedPosition;
}

/** Keeps which zones are evacuated. */
export class Evacuations {
  private known: PublishedPosition | undefined;
  private knownSinceMs = Infinity;
  private hasHeardPeer = false;
  private readonly records = new Map<string, ZoneRecord>();
  /** Names of items that were logged as unusable. */
  private readonly loggedItems = new Set<string>();
  /** True if zones were evacuated or returned since the last check. */
  private hasChanged = false;

  constructor(private readonly options: EvacuationsOptions) {}

  /** Newest position that is known; undefined before the first one. */
  get position(): PublishedPosition | undefined {
    return this.known;
  }

  /** False until the router knows which zones are evacuated. */
  get isKnown(): boolean {
    if (!this.known) return false;
    const {peerWaitMs} = this.options;
    const waitedMs = performance.now() - this.knownSinceMs;
    return this.hasHeardPeer || waitedMs >= peerWaitMs;
  }

  /**
   * True if servers in the zone get no requests.
   *
   * @example
   * servers.filter(({zone}) => !evacuations.isEvacuated(zone))
   */
  isEvacuated(zone: string): boolean {
    const status = this.records.get(zone)?.status;
    return status === ZoneStatus.Evacuated || status === ZoneStatus.Retained;
  }

  /**
   * Milliseconds since this router learned that the zone has returned to service:
   * 0 while it is evacuated, Infinity if it never was.
   */
  measureSinceReturnMs(zone: string): number {
    const record = this.records.get(zone);
    if (record?.status === ZoneStatus.Returned) {
      return performance.now() - record.atMs;
    }
    return this.isEvacuated(zone) ? 0 : Infinity;
  }

  /** Lists the zones that are or were evacuated. */
  listZones(): ZoneReport[] {
    const nowMs = performance.now();
    return [...this.records].map(([zone, record]): ZoneReport => {
      const {status} = record;
      switch (status) {
        case ZoneStatus.Evacuated:
        case ZoneStatus.Unreadable:
          return {zone, status};
        case ZoneStatus.Retained: {
          const remainingMs = Math.max(0, Math.round(record.untilMs - nowMs));
          return {zone, status, remainingMs};
        }
        case ZoneStatus.Returned: {
          const sinceMs = Math.round(nowMs - record.atMs);
          return {zone, status, sinceMs, epoch: record.epoch};
        }
      }
    });
  }

  /** Describes the state for operators. */
  describe(): object {
    const zones = this.listZones().map(report => ({
      ...report,
      status: ZoneStatus[report.status],
    }));
    return {...this.known, isKnown: this.isKnown, zones};
  }

  /** Builds the report for other routers; undefined while nothing is known. */
  buildReport(): EvacuationReport | undefined {
    if (!this.known || !this.isKnown) return undefined;
    const zones = this.listZones().filter(
      zone =>
        zone.status !== ZoneStatus.Returned ||
        zone.sinceMs < returnReportPeriodMs,
    );
    return {position: this.known, zones};
  }

  /**
   * Applies an answer of the platform; returns whether the evacuated zones have
   * changed.
   *
   * @param source - where it was read from, for the log
   */
  apply(update: PositionedUpdate, source: string): boolean {
    const {epoch, revision, evacuations} = update;
    const position = {epoch, revision};
    if (this.known && isBefore(position, this.known)) return false;
    const items = this.selectUsable(evacuations.items);
    switch (evacuations.kind) {
      case UpdateKind.Complete:
        this.replace(items, {source, position});
        break;
      case UpdateKind.Changes:
        this.applyChanges(items, {source, position});
        break;
      default:
        assertNever(evacuations.kind);
    }
    return this.takeHasChanged();
  }

  /**
   * Merges the report of another router; returns whether the evacuated zones
   * have changed, or are known now.
   *
   * @param ageMs - time since the other router, or one that it heard, has read
   *     the platform
   * @param source - address of the other router, for the log
   */
  recordPeer(report: EvacuationReport, ageMs: number, source: string): boolean {
    const wasKnown = this.isKnown;
    const {position, zones} = report;
    const change: ChangeSource = {source, position};
    this.hasHeardPeer = true;
    if (this.known && position.epoch < this.known.epoch) {
      this.retainFromOldEpoch(zones, ageMs, change);
      return this.takeHasChanged() || !wasKnown;
    }
    if (!this.known || isBefore(this.known, position)) {
      this.replace(zones.flatMap(listPublished), change);
    }
    for (const zone of zones) this.mergeZone(zone, change);
    return this.takeHasChanged() || !wasKnown;
  }

  /** Drops items that can't be used, and logs each of them once. */
  private selectUsable(items: readonly EvacuationItem[]): EvacuationItem[] {
    const {zones} = this.options;
    return items.filter(item => {
      if (item.kind === ItemKind.Unreadable) {
        this.logOnce(item.name, 'evacuation not readable, ignored', {
          item: item.name,
        });
        return true;
      }
      if (zones.length === 0 || zones.includes(item.zone)) return true;
      if (item.kind === ItemKind.Written) {
        const event = 'evacuation of a zone that does not exist, ignored';
        this.logOnce(item.zone, event, {zone: item.zone});
      }
      return false;
    });
  }

  private logOnce(
    name: string,
    event: string,
    fields: Record<string, string>,
  ): void {
    const key = `${event} ${name}`;
    if (this.loggedItems.has(key)) return;
    this.loggedItems.add(key);
    this.options.log.warn(event, fields);
  }

  /** Applies all evacuations that exist at a position. */
  private replace(
    items: readonly EvacuationItem[],
    change: ChangeSource,
  ): void {
    const {position} = change;
    const kept = new Set(items.map(({zone}) => zone));
    const isRestored = this.known && position.epoch > this.known.epoch;
    if (isRestored) this.retainMissing(kept, change);
    this.knownSinceMs = Math.min(this.knownSinceMs, performance.now());
    this.known = position;
    for (const {kind, zone} of items) {
      if (zone === undefined) continue;
      if (kind === ItemKind.Written) this.evacuate(zone, change);
      else if (!this.records.has(zone)) {
        this.records.set(zone, {status: ZoneStatus.Unreadable});
      }
    }
    for (const [zone, {status}] of this.records) {
      if (kept.has(zone)) continue;
      if (status === ZoneStatus.Evacuated) {
        this.returnZone(zone, 'deleted', change);
      } else if (status === ZoneStatus.Unreadable) this.records.delete(zone);
    }
    this.endRetention(change);
  }

  /**
   * Applies changes. In a new epoch, they are incomplete: the position then stays
   * until all evacuations have been read.
   */
  private applyChanges(
    items: readonly EvacuationItem[],
    change: ChangeSource,
  ): void {
    if (!this.known) return;
    for (const {kind, zone} of items) {
      if (zone === undefined || kind === ItemKind.Unreadable) continue;
      if (kind === ItemKind.Written) this.evacuate(zone, change);
      else if (this.isEvacuated(zone)) this.returnZone(zone, 'deleted', change);
    }
    if (change.position.epoch !== this.known.epoch) return;
    this.known = change.position;
    this.endRetention(change);
  }

  /**
   * Retains what was evacuated before a restore of the platform.
   *
   * @param published - zones with an item in the new epoch
   */
  private retainMissing(
    published: ReadonlySet<string | undefined>,
    change: ChangeSource,
  ): void {
    for (const zone of [...this.records.keys()]) {
      if (published.has(zone) || !this.isEvacuated(zone)) continue;
      this.retain(zone, restoredPeriodMs, change);
    }
  }

  /**
   * Handles the report of a router that doesn't know of a restore yet. The
   * restore is more recent than its last read, so that the operator may still
   * have to write an evacuation again.
   */
  private retainFromOldEpoch(
    zones: readonly ZoneReport[],
    ageMs: number,
    change: ChangeSource,
  ): void {
    const remainingMs = restoredPeriodMs - ageMs;
    if (ageMs < 0 || remainingMs <= 0) return;
    for (const {zone, status} of zones) {
      const wasEvacuated =
        status === ZoneStatus.Evacuated || status === ZoneStatus.Retained;
      if (!wasEvacuated || this.records.has(zone)) continue;
      this.retain(zone, remainingMs, change);
    }
  }

  /** Merges what another router in the same epoch knows of a zone. */
  private mergeZone(report: ZoneReport, change: ChangeSource): void {
    const {zone, status} = report;
    const {epoch} = change.position;
    const record = this.records.get(zone);
    switch (status) {
      case ZoneStatus.Unreadable:
        return;
      case ZoneStatus.Evacuated:
        // Otherwise, the newer of the two positions has decided.
        if (record?.status === ZoneStatus.Unreadable) {
          this.evacuate(zone, change);
        }
        return;
      case ZoneStatus.Retained: {
        // A zone that was returned in this epoch doesn't become evacuated again.
        if (this.isReturnedIn(zone, epoch) || this.isEvacuated(zone)) return;
        const remainingMs = Math.min(report.remainingMs, restoredPeriodMs);
        this.retain(zone, remainingMs, change);
        return;
      }
      case ZoneStatus.Returned:
        if (record?.status === ZoneStatus.Retained && report.epoch === epoch) {
          this.returnZone(zone, 'returned elsewhere', change);
        } else if (!record) {
          const atMs = performance.now() - report.sinceMs;
          this.records.set(zone, {status, atMs, epoch: report.epoch});
        }
        return;
      default:
        assertNever(report);
    }
  }

  private isReturnedIn(zone: string, epoch: number): boolean {
    const record = this.records.get(zone);
    return record?.status === ZoneStatus.Returned && record.epoch === epoch;
  }

  /** Returns the zones that weren't evacuated again after a restore. */
  private endRetention(change: ChangeSource): void {
    const nowMs = performance.now();
    for (const [zone, record] of this.records) {
      if (record.status !== ZoneStatus.Retained) continue;
      if (record.untilMs > nowMs) continue;
      this.returnZone(zone, 'not written again', change);
    }
  }

  private evacuate(zone: string, {source, position}: ChangeSource): void {
    if (!this.isEvacuated(zone)) {
      this.hasChanged = true;
      this.options.log.logInfo('zone evacuated', {zone, source, ...position});
    }
    this.records.set(zone, {status: ZoneStatus.Evacuated});
  }

  private retain(
    zone: string,
    periodMs: number,
    {source, position}: ChangeSource,
  ): void {
    this.hasChanged = true;
    const untilMs = performance.now() + periodMs;
    this.records.set(zone, {status: ZoneStatus.Retained, untilMs});
    this.options.log.logInfo('evacuation kept after a restore', {
      zone,
      source,
      ms: Math.round(periodMs),
      ...position,
    });
  }

  private returnZone(
    zone: string,
    cause: string,
    {source, position}: ChangeSource,
  ): void {
    this.hasChanged = true;
    const {epoch} = position;
    const atMs = performance.now();
    this.records.set(zone, {status: ZoneStatus.Returned, atMs, epoch});
    this.options.log.logInfo('zone returned to service', {
      zone,
      cause,
      source,
      ...position,
    });
  }

  private takeHasChanged(): boolean {
    const {hasChanged} = this;
    this.hasChanged = false;
    return hasChanged;
  }
}

/** Lists the item that the platform publishes for a zone, if there is one. */
function listPublished({zone, status}: ZoneReport): EvacuationItem[] {
  switch (status) {
    case ZoneStatus.Evacuated:
      return [{kind: ItemKind.Written, zone}];
    case ZoneStatus.Unreadable:
      return [{kind: ItemKind.Unreadable, name: zone, zone}];
    case ZoneStatus.Retained:
    case ZoneStatus.Returned:
      return [];
  }
}
