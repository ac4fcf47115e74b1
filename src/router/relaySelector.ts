/**
 * Selection of the relay of a zone: the router that the others in the zone
 * report to. A relay sends all sums to each member, some hundred KB/s in a
 * large zone, so routers with slow links are selected only if there are no
 * others.
 */
import {pickByWeight} from '../node/rendezvous.js';
import type {FleetView} from './fleetView.js';
import {isServing, RouterStatus} from './peerReport.js';
import {selectFastVms} from './vmLinks.js';

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
  private readonly excludedUntilMs = new Map<string, number>();

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
      this.excludedUntilMs.set(relay, nowMs + exclusionPeriodMs);
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
    const {fleet, own} = this;
    const nowMs = performance.now();
    const routers = fleet
      .listAliveAtLastReport()
      .filter(({identity}) => identity.zone === zone)
      .filter(({host}) => (this.excludedUntilMs.get(host) ?? 0) <= nowMs)
      .map(({host, status, identity: {linkMbps}}) => ({
        host,
        status,
        linkMbps,
      }));
    if (zone === own.zone) {
      const {host, linkMbps} = own;
      // A router that hears of no other gives callers its own address, as all
      // members of the zone do then. They still have to agree on a relay.
      const status = fleet.hasContact()
        ? own.getStatus()
        : RouterStatus.Resting;
      routers.push({host, status, linkMbps});
    }
    const ready = routers.filter(({status}) => status === RouterStatus.Ready);
    const hasOtherReady = ready.some(({host}) => host !== own.host);
    const serving = routers.filter(({status}) => isServing(status));
    const fallback = serving.length > 0 ? serving : routers;
    const candidates = hasOtherReady ? ready : fallback;
    const fast = selectFastVms(candidates);
    return pickByWeight('relay', fast, ({host}) => host)?.host;
  }
}
