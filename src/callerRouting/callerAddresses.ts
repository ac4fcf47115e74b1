/**
 * Selects the router addresses that callers are given: the first routers of a
 * fixed order, as many as the callers' demand needs.
 */
import {TotalsTopic, type TotalsRow} from '../fleetTotals/totalsReport.js';
import {h32} from '../node/hashFunctions.js';
import type {Log} from '../node/log.js';
import {sortByWeight} from '../node/rendezvous.js';
import {OfferedSize, type SizeChange} from './offeredSize.js';
import {
  chooseSize,
  listUses,
  type RouterCapacity,
  type SizeUse,
  type ZoneDemand,
} from './routerSizing.js';
import {selectFastVms} from './vmLinks.js';

/** Most addresses in one answer. */
export const maxAddresses = 64;
/**
 * With fewer routers in the caller's zone, routers of all zones are offered. At
 * least as many are offered, so that the loss of one leaves another.
 */
const minRouters = 2;
/** The routers to offer are selected at most once in this time. */
const selectionPeriodMs = 100;
/** Most zones of callers for which the routers are remembered. */
const maxRememberedZones = 64;

/** A router that takes requests. */
export interface OfferableRouter extends RouterCapacity {
  /** IP address. */
  readonly host: string;
  /** `host:port` for callers. */
  readonly callers: string;
  readonly zone: string;
  /** True if it reports that its zone's addresses name it. */
  readonly isOffered: boolean;
}

/** The part of `FleetTotals` that is needed. */
export interface ZoneTotals {
  register(topic: TotalsTopic, listOwn: () => readonly TotalsRow[]): void;
  list(topic: TotalsTopic): ReadonlyMap<number, readonly number[]>;
}

export interface CallerAddressesOptions {
  /** Zone of this router. */
  readonly zone: string;
  /** Lists the live routers that take requests, this one included. */
  readonly listRouters: () => readonly OfferableRouter[];
  readonly totals: ZoneTotals;
  /** Returns what callers ask of this router. */
  readonly measureDemand: () => ZoneDemand;
  readonly log: Log;
}

/** State of the own zone, for dumps and metrics. */
export interface CallerRoutingState {
  readonly offered: number;
  /** Live routers from which the offered ones are taken. */
  readonly routers: number;
  readonly fast: number;
  /** Routers whose demand is known. */
  readonly reporting: number;
  readonly demand: ZoneDemand;
  readonly use: SizeUse | undefined;
}

interface Selection {
  readonly routers: readonly OfferableRouter[];
  readonly state: CallerRoutingState;
  readonly selectedAtMs: number;
}

/**
 * Lists the routers for callers.
 *
 * @example
 * new CallerAddresses(options).list('a') // ['10.0.0.1:80', '10.0.0.2:80']
 */
export class CallerAddresses {
  private readonly zoneSize = new OfferedSize();
  /** For callers of zones with too few routers. */
  private readonly fleetSize = new OfferedSize();
  private latest: Selection | undefined;
  /** Routers for callers elsewhere, by zone; undefined for none. */
  private readonly elsewhere = new Map<
    string | undefined,
    Pick<Selection, 'routers' | 'selectedAtMs'>
  >();

  constructor(private readonly options: CallerAddressesOptions) {
    const {totals, zone, measureDemand} = options;
    totals.register(TotalsTopic.ZoneTraffic, () => {
      const {kbps, milliCores} = measureDemand();
      return [[h32(zone), Math.round(kbps), Math.round(milliCores), 1]];
    });
  }

  /** Lists the addresses for a caller in a zone. */
  list(zone: string | undefined): string[] {
    return this.select(zone).map(({callers}) => callers);
  }

  /** Returns the state of the own zone. */
  describe(): CallerRoutingState {
    return this.selectInZone().state;
  }

  private select(zone: string | undefined): readonly OfferableRouter[] {
    if (zone === this.options.zone) return this.selectInZone().routers;
    const nowMs = performance.now();
    const known = this.elsewhere.get(zone);
    if (known && nowMs - known.selectedAtMs < selectionPeriodMs) {
      return known.routers;
    }
    // Callers may name any zone.
    if (this.elsewhere.size >= maxRememberedZones) this.elsewhere.clear();
    const routers = this.selectElsewhere(zone);
    this.elsewhere.set(zone, {routers, selectedAtMs: nowMs});
    return routers;
  }

  private selectElsewhere(
    zone: string | undefined,
  ): readonly OfferableRouter[] {
    const routers = this.options
      .listRouters()
      .filter(router => router.zone === zone);
    if (zone === undefined || routers.length < minRouters) {
      return this.selectInFleet().routers;
    }
    // The routers of a zone know its demand; resting routers elsewhere don't.
    const order = sortRouters(routers);
    const offered = order.filter(({isOffered}) => isOffered);
    if (offered.length >= minRouters) return offered.slice(0, maxAddresses);
    const {demand} = this.getDemand(zone);
    const minSize = computeMinSize(order);
    const size = chooseSize(listUses(order, demand), minSize)?.size;
    return order.slice(0, size);
  }

  /** Selects for callers of the own zone. */
  private selectInZone(): Selection {
    const nowMs = performance.now();
    if (this.latest && nowMs - this.latest.selectedAtMs < selectionPeriodMs) {
      return this.latest;
    }
    const {zone, listRouters} = this.options;
    const routers = listRouters().filter(router => router.zone === zone);
    this.latest =
      routers.length < minRouters
        ? this.selectInFleet()
        : this.selectFrom(routers, this.zoneSize, zone);
    return this.latest;
  }

  private selectInFleet(): Selection {
    return this.selectFrom(this.options.listRouters(), this.fleetSize);
  }

  private selectFrom(
    candidates: readonly OfferableRouter[],
    offeredSize: OfferedSize,
    zone?: string,
  ): Selection {
    const routers = sortRouters(candidates);
    const {demand, reporting} = this.getDemand(zone);
    const minSize = computeMinSize(routers);
    const change = offeredSize.update({routers, minSize, demand});
    const offered = offeredSize.size;
    const state: CallerRoutingState = {
      offered,
      routers: candidates.length,
      fast: selectFastVms(candidates).length,
      reporting,
      demand,
      use: listUses(routers, demand).at(offered - 1),
    };
    if (change) this.logChange(change, state, zone);
    return {
      routers: routers.slice(0, offered),
      state,
      selectedAtMs: performance.now(),
    };
  }

  /**
   * Returns the demand of a zone, or of all zones, and the number of routers
   * whose demand it contains.
   */
  private getDemand(zone?: string): {
    readonly demand: ZoneDemand;
    readonly reporting: number;
  } {
    const sums = this.options.totals.list(TotalsTopic.ZoneTraffic);
    const rows =
      zone === undefined ? [...sums.values()] : [sums.get(h32(zone)) ?? []];
    const sum = (index: number) =>
      rows.reduce((total, row) => total + (row[index] ?? 0), 0);
    return {demand: {kbps: sum(0), milliCores: sum(1)}, reporting: sum(2)};
  }

  private logChange(
    {reason, from, to}: SizeChange,
    {routers, fast, reporting, demand}: CallerRoutingState,
    zone: string | undefined,
  ): void {
    this.options.log.logInfo('number of offered routers changed', {
      zone,
      reason,
      from,
      to: to.size,
      routers,
      fast,
      reporting,
      kbps: Math.round(demand.kbps),
      milliCores: Math.round(demand.milliCores),
      use: Math.round(to.use * 100) / 100,
      resource: to.resource,
    });
  }
}

/**
 * Sorts routers in the order in which they are offered, the same at all
 * routers: those with fast links first. Returns at most `maxAddresses`.
 */
function sortRouters(routers: readonly OfferableRouter[]): OfferableRouter[] {
  const sorted = sortByWeight('callers', routers, ({host}) => host);
  const fast = new Set(selectFastVms(sorted));
  return [...fast, ...sorted.filter(router => !fast.has(router))].slice(
    0,
    maxAddresses,
  );
}

/** Returns the smallest number to offer: the fast ones, but two if possible. */
function computeMinSize(routers: readonly OfferableRouter[]): number {
  const fast = selectFastVms(routers).length;
  return Math.min(routers.length, Math.max(minRouters, fast));
}
