/**
 * Discovery of other routers. A greeting is a full report to a single router,
 * and a roster lists all routers that its sender knows.
 */
import {waitFor} from '../node/delay.js';
import {DatagramKind, type Datagram} from './datagramCodec.js';
import type {FleetView} from './fleetView.js';
import type {OwnReportBuilder} from './ownReportBuilder.js';
import {
  WantedAnswer,
  type PeerIdentity,
  type RouterEndpoints,
} from './peerReport.js';
import type {FleetMember} from './relayReport.js';

/**
 * A fleet with more routers uses relays: with reports from each to all, traffic
 * grows with the square of the fleet.
 */
export const maxMeshRouters = 24;
/** Time between queries to seeds while no other router is known. */
const seedIntervalMs = 500;
/** The interval then doubles after each query, up to this one. */
const maxSeedIntervalMs = 5_000;
/**
 * Shortest time between greetings to a contact that hasn't answered. A starting
 * router learns of the same contacts from every peer and would greet them each
 * time.
 */
const greetingIntervalMs = 500;
/**
 * Time after which a router that still reports as in a small fleet is sent the
 * roster, in milliseconds, and between rosters. Most routers of a starting
 * fleet learn its size sooner.
 */
const smallViewIntervalMs = 1_000;
/** Contacts named in a regular full report. */
const contactsPerReport = 2;

export interface PeerDiscoveryOptions {
  readonly address: string;
  /** `host:port` of other routers. */
  readonly seeds: readonly string[];
  readonly endpoints: RouterEndpoints;
  readonly fleet: FleetView;
  readonly reports: OwnReportBuilder;
  readonly send: (host: string, datagram: Datagram) => void;
  /** Relay of the own zone; undefined without one or if it is this router. */
  readonly getRelay: () => string | undefined;
}

/**
 * In a small fleet, greets each router. In a large fleet, takes the roster of a
 * seed without greeting the routers in it, because greetings from each to all
 * grow with the square of the fleet; the router then reports to the relay of
 * its zone.
 */
export class PeerDiscovery {
  /** Greetings sent since the start. */
  greetings = 0;
  private seeds: readonly string[];
  private readonly greetedAtMs = new Map<string, number>();
  /** Starts of the intervals in which routers reported as in a small fleet. */
  private readonly smallViewAtMs = new Map<string, number>();

  constructor(private readonly options: PeerDiscoveryOptions) {
    this.seeds = options.seeds;
  }

  /** Replaces the seeds. */
  useSeeds(seeds: readonly string[]): void {
    this.seeds = seeds;
  }

  /** Queries seeds for their rosters until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const {fleet, getRelay} = this.options;
    let intervalMs = seedIntervalMs;
    let wasLarge = false;
    while (!signal.aborted) {
      const isAlone = fleet.listAlive().length === 0;
      if (isAlone) {
        for (const host of this.listSeeds()) {
          this.greet(host, WantedAnswer.Roster);
        }
      } else if (getRelay() === undefined) {
        this.greetRandomSeed();
      }
      // After a switch to or from relays, routers must agree on them soon.
      // Query at the short interval again.
      const isLarge = fleet.countRouters() > maxMeshRouters;
      intervalMs =
        isAlone || isLarge !== wasLarge
          ? seedIntervalMs
          : Math.min(maxSeedIntervalMs, intervalMs * 2);
      wasLarge = isLarge;
      await waitFor(intervalMs, signal);
    }
  }

  /** Sends a full report to a single router. */
  greet(host: string, wanted: WantedAnswer): void {
    const {reports, send, getRelay} = this.options;
    this.greetings += 1;
    const identity = {...this.options.endpoints, contacts: []};
    const report = reports.buildGreeting(getRelay() === host, {
      ...identity,
      wantedAnswer: wanted,
    });
    send(host, {kind: DatagramKind.Report, report});
  }

  /** Sends the answer that a greeting asks for. */
  answer(host: string, wanted: WantedAnswer): void {
    if (wanted === WantedAnswer.None) return;
    this.greet(host, WantedAnswer.None);
    if (wanted === WantedAnswer.Roster) this.sendRoster(host);
  }

  /**
   * Sends the roster to a router that goes on reporting as in a small fleet.
   * Routers that start together, after all seeds were lost, would otherwise
   * form a fleet of their own.
   */
  notifyOfFleet(host: string): void {
    const nowMs = performance.now();
    const sinceMs = nowMs - (this.smallViewAtMs.get(host) ?? -Infinity);
    if (sinceMs < smallViewIntervalMs) return;
    this.smallViewAtMs.set(host, nowMs);
    if (sinceMs < 2 * smallViewIntervalMs) this.sendRoster(host);
  }

  /** Records the roster of a seed. */
  recordRoster(members: readonly FleetMember[]): void {
    const {fleet} = this.options;
    const routers = Math.max(members.length, fleet.countRouters());
    if (routers > maxMeshRouters) fleet.recordRoster(members);
    else this.greetUnknown(members.map(({host}) => host));
  }

  /** Greets those of the routers that aren't known yet. */
  greetUnknown(hosts: readonly string[]): void {
    const {fleet, address} = this.options;
    const nowMs = performance.now();
    for (const host of hosts) {
      if (host === address || fleet.isKnown(host)) continue;
      const lastMs = this.greetedAtMs.get(host) ?? -Infinity;
      if (nowMs - lastMs < greetingIntervalMs) continue;
      this.greetedAtMs.set(host, nowMs);
      this.greet(host, WantedAnswer.Report);
    }
  }

  /** Builds the identity for a full report, with a sample of contacts. */
  buildIdentity(): PeerIdentity {
    const {fleet, endpoints} = this.options;
    const hosts = fleet.listAlive().map(peer => peer.host);
    const first = Math.floor(Math.random() * hosts.length);
    const sample = [...hosts.slice(first), ...hosts.slice(0, first)];
    const contacts = sample.slice(0, contactsPerReport);
    return {...endpoints, contacts, wantedAnswer: WantedAnswer.None};
  }

  private sendRoster(host: string): void {
    const {send} = this.options;
    send(host, {kind: DatagramKind.Roster, members: this.listRoster()});
  }

  private greetRandomSeed(): void {
    const seeds = this.listSeeds();
    if (seeds.length === 0) return;
    const host = seeds[Math.floor(Math.random() * seeds.length)];
    this.greet(host, WantedAnswer.Roster);
  }

  private listSeeds(): string[] {
    const {address} = this.options;
    const hosts = this.seeds.map(seed => seed.split(':')[0]);
    return hosts.filter(host => host !== address);
  }

  private listRoster(): FleetMember[] {
    const {fleet, endpoints, address, reports} = this.options;
    const others = fleet.listHeard().map(toMember);
    return [...others, {...endpoints, host: address, status: reports.status}];
  }
}

/** Converts a known router to a roster entry. */
export function toMember({
  host,
  status,
  identity: {vm, zone, callers, peers, linkMbps, processorShare},
}: {
  readonly host: string;
  readonly status: FleetMember['status'];
  readonly identity: RouterEndpoints;
}): FleetMember {
  return {host, status, vm, zone, callers, peers, linkMbps, processorShare};
}
