/**
 * Selection of the relay of a zone: the router that the others in the zone
 * report to. A relay sends all sums to each member, some MB/s in a large zone.
 * A zone whose serving routers all have slow links therefore uses the relay of
 * another zone; slow links are selected only if the fleet has no others.
 */
import {pickByWeight} from '../node/rendezvous.js';
import type {FleetView} from './fleetView.js';
import {isServing, RouterStatus} from './peerReport.js';
import {
  findFastestMbps,
  isFastLink,
  selectFastVms,
} from '../callerRouting/vmLinks.js';

/**
 * A relay silent for longer than this is replaced, in milliseconds. Three times
 * its longest report interval.
 */
const relayTimeoutMs = 600;
/**
 * The same at a resting router, which hears from its relay less often. A relay
 * answers a router that joins at once, so the shorter limit holds for the first
 * report of a new relay.
 */
const restingRelayTimeoutMs = 1_500;
/** A silent relay isn't selected again for this long, in milliseconds. */
const exclusionPeriodMs = 3_000;

/**
 * After this many silent relays in other zones within `exclusionPeriodMs`, the
 * members of a zone select a relay of their own zone even with slow links: the
 * zone is probably cut off from the others.
 */
const maxSilentOutsideRelays = 2;

/** A router that can be selected. */
interface Candidate {
  readonly host: string;
  readonly status: RouterStatus;
  readonly zone: string;
  readonly linkMbps: number;
}

/** A relay that isn't selected for some time because it was silent. */
interface Exclusion {
  readonly untilMs: number;
  readonly isOutside: boolean;
}

export interface OwnRouter {
  /** IP address. */
  readonly host: string;
  readonly zone: string;
  /** Bandwidth of the VM's link in Mbit/s. */
  readonly linkMbps: number;
  readonly getStatus: () => RouterStatus;
}

/** Selects the same relay on all routers with the same view of the fleet. */
export class RelaySelector {
  private selected: string;
  private selectedAtMs = -Infinity;
  private readonly exclusions = new Map<string, Exclusion>();

  constructor(
    private readonly fleet: FleetView,
    private readonly own: OwnRouter,
  ) {
    this.selected = own.host;
  }

  /** Selects the relay of the own zone; undefined if it is this router. */
  select(): string | undefined {
    const {host, zone} = this.own;
    const nowMs = performance.now();
    let relay = this.selectForZone(zone) ?? host;
    if (relay === this.selected && relay !== host && nowMs > this.endsAtMs) {
      this.recordSilent(relay);
      relay = this.selectForZone(zone) ?? host;
    }
    if (relay !== this.selected) {
      this.selected = relay;
      this.selectedAtMs = nowMs;
    }
    return relay === host ? undefined : relay;
  }

  /**
   * Time until the selected relay counts as lost, in milliseconds, unless it
   * reports before; Infinity if this router is its own relay.
   */
  measureRemainingMs(): number {
    if (this.selected === this.own.host) return Infinity;
    return this.endsAtMs - performance.now();
  }

  /** When the selected relay counts as lost, unless it reports before. */
  private get endsAtMs(): number {
    const heardAtMs = this.fleet.getRelayHeardAtMs(this.selected);
    const isResting = this.own.getStatus() === RouterStatus.Resting;
    const hasJoined = heardAtMs >= this.selectedAtMs;
    return isResting && hasJoined
      ? heardAtMs + restingRelayTimeoutMs
      : Math.max(heardAtMs, this.selectedAtMs) + relayTimeoutMs;
  }

  /** Selects the relay of a zone; undefined if no router is known there. */
  selectForZone(zone: string): string | undefined {
    const routers = this.listSelectable();
    const candidates = this.listCandidates(routers, zone);
    if (candidates.length === 0) return undefined;
    const serving = routers.filter(({status}) => isServing(status));
    const hostZone = this.isCutOff()
      ? undefined
      : this.selectHostZone(routers, zone, findFastestMbps(serving));
    const hosts =
      hostZone === undefined || hostZone === zone
        ? candidates
        : this.listCandidates(routers, hostZone);
    return pickByWeight('relay', selectFastVms(hosts), ({host}) => host)?.host;
  }

  /**
   * Selects the zone whose relay serves a zone: the zone itself if it has a
   * router with a fast link, else one that has, or undefined if none has.
   * Several zones without fast links are spread evenly over the others, because
   * the relay's traffic grows with its members.
   */
  private selectHostZone(
    routers: readonly Candidate[],
    zone: string,
    fastestMbps: number,
  ): string | undefined {
    const hasFast = (name: string) =>
      this.listCandidates(routers, name).some(({linkMbps}) =>
        isFastLink(linkMbps, fastestMbps),
      );
    if (hasFast(zone)) return zone;
    const zones = [...new Set(routers.map(router => router.zone))].sort();
    const hosts = zones.filter(hasFast);
    let free: string[] = [];
    for (const guest of zones.filter(name => !hosts.includes(name))) {
      if (free.length === 0) free = hosts;
      const host = pickByWeight(`relay zone ${guest}`, free, name => name);
      if (guest === zone) return host;
      free = free.filter(name => name !== host);
    }
    return undefined;
  }

  private recordSilent(relay: string): void {
    const nowMs = performance.now();
    const {fleet, own} = this;
    const peer = fleet.listKnown().find(({host}) => host === relay);
    const isOutside = peer !== undefined && peer.identity.zone !== own.zone;
    const untilMs = nowMs + exclusionPeriodMs;
    this.exclusions.set(relay, {untilMs, isOutside});
  }

  private isCutOff(): boolean {
    const nowMs = performance.now();
    const outside = [...this.exclusions.values()].filter(
      ({untilMs, isOutside}) => isOutside && untilMs > nowMs,
    );
    return outside.length >= maxSilentOutsideRelays;
  }

  /** Lists the live routers that aren't excluded, including this one. */
  private listSelectable(): Candidate[] {
    const {fleet, own} = this;
    const nowMs = performance.now();
    const routers = fleet
      .listAliveAtLastReport()
      .filter(({host}) => (this.exclusions.get(host)?.untilMs ?? 0) <= nowMs)
      .map(({host, status, identity: {zone, linkMbps}}) => ({
        host,
        status,
        zone,
        linkMbps,
      }));
    // A router that hears of no other gives callers its own address, as all
    // members of the zone do then. They still have to agree on a relay.
    const status = fleet.hasContact() ? own.getStatus() : RouterStatus.Resting;
    const {host, zone, linkMbps} = own;
    return [...routers, {host, status, zone, linkMbps}];
  }

  /** Lists the routers of a zone that its own relay is selected from. */
  private listCandidates(
    all: readonly Candidate[],
    zone: string,
  ): readonly Candidate[] {
    const routers = all.filter(router => router.zone === zone);
    const ready = routers.filter(({status}) => status === RouterStatus.Ready);
    const hasOtherReady = ready.some(({host}) => host !== this.own.host);
    const serving = routers.filter(({status}) => isServing(status));
    const fallback = serving.length > 0 ? serving : routers;
    return hasOtherReady ? ready : fallback;
  }
}
