/**
 * Which router of a zone is the relay of the others there. A relay sends all
 * sums to each member, some hundred KB/s in a large zone, so that routers with
 * slow links are chosen only where there are no others.
 */
import {pickByWeight} from '../node/rendezvous.js';
import type {FleetView} from './fleetView.js';
import {RouterStatus} from './peerReport.js';
import {selectFast} from './vmLinks.js';

/**
 * A relay that sent nothing for this long is replaced, in milliseconds; three
 * times its longest interval.
 */
const silenceMs = 600;
/** The same for a resting router, which hears from its relay less often. */
const restingSilenceMs = 1_500;
/** A silent relay isn't chosen again for this long, in milliseconds. */
const passOverForMs = 3_000;

export interface OwnRouter {
  /** IP address. */
  readonly host: string;
  readonly zone: string;
  /** Bandwidth of the VM's link in Mbit/s. */
  readonly linkMbps: number;
  readonly getStatus: () => RouterStatus;
}

/** Chooses the same relay at all routers that know the same fleet. */
export class RelayChoice {
  private chosen: string;
  private chosenAtMs = -Infinity;
  private readonly silentUntilMs = new Map<string, number>();

  constructor(
    private readonly fleet: FleetView,
    private readonly own: OwnRouter,
  ) {
    this.chosen = own.host;
  }

  /** The relay of the own zone; undefined when it is this router. */
  chooseOwn(): string | undefined {
    const {host, zone} = this.own;
    const nowMs = performance.now();
    let relay = this.choose(zone) ?? host;
    if (relay === this.chosen && relay !== host) {
      const heardAtMs = this.fleet.getRelayHeardAtMs(relay);
      const isResting = this.own.getStatus() === RouterStatus.Resting;
      const limitMs = isResting ? restingSilenceMs : silenceMs;
      if (nowMs - Math.max(heardAtMs, this.chosenAtMs) > limitMs) {
        this.silentUntilMs.set(relay, nowMs + passOverForMs);
        relay = this.choose(zone) ?? host;
      }
    }
    if (relay !== this.chosen) {
      this.chosen = relay;
      this.chosenAtMs = nowMs;
    }
    return relay === host ? undefined : relay;
  }

  /** The relay of a zone; undefined when no router is known there. */
  choose(zone: string): string | undefined {
    const {fleet, own} = this;
    const nowMs = performance.now();
    const routers = fleet
      .listAlive()
      .filter(({identity}) => identity.zone === zone)
      .filter(({host}) => (this.silentUntilMs.get(host) ?? 0) <= nowMs)
      .map(({host, status, identity: {linkMbps}}) => ({
        host,
        status,
        linkMbps,
      }));
    if (zone === own.zone) {
      const {host, linkMbps} = own;
      routers.push({host, status: own.getStatus(), linkMbps});
    }
    const ready = routers.filter(({status}) => status === RouterStatus.Ready);
    const candidates = ready.length > 0 ? ready : routers;
    const fast = selectFast(candidates);
    return pickByWeight('relay', fast, ({host}) => host)?.host;
  }
}
