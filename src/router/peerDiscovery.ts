/** How routers find each other: seeds, greetings, lists of routers. */
import {waitFor} from '../node/delay.js';
import {DatagramKind, type Datagram} from './datagramCodec.js';
import type {FleetView} from './fleetView.js';
import type {OwnReports} from './ownReports.js';
import {
  WantedAnswer,
  type PeerIdentity,
  type RouterEndpoints,
} from './peerReport.js';
import type {Member} from './relayReport.js';

/** A larger fleet uses relays, so that reports don't grow with its square. */
export const largestMesh = 24;
/** Time between questions to seeds while no other router is known. */
const seedIntervalMs = 500;
/** Later questions come after twice the time each, up to this one. */
const longestSeedIntervalMs = 5_000;
/**
 * A contact is greeted again after this time if it hasn't answered, because a
 * starting router hears of the same ones from all.
 */
const greetingIntervalMs = 500;
/** Contacts in a regular full report. */
const sampledContacts = 2;

export interface PeerDiscoveryOptions {
  readonly address: string;
  /** `host:port` of other routers. */
  readonly seeds: readonly string[];
  readonly endpoints: RouterEndpoints;
  readonly fleet: FleetView;
  readonly reports: OwnReports;
  readonly send: (host: string, datagram: Datagram) => void;
  /** Relay of the own zone; undefined without one or when it is this router. */
  readonly getRelay: () => string | undefined;
}

/**
 * Greets routers one by one in a small fleet. In a large one a router takes the
 * list of a seed and reports to the relay of its zone, because greetings of all
 * to all would grow with the square of the fleet.
 */
export class PeerDiscovery {
  /** Greetings since the start. */
  greetings = 0;
  private seeds: readonly string[];
  private readonly contactedAtMs = new Map<string, number>();

  constructor(private readonly options: PeerDiscoveryOptions) {
    this.seeds = options.seeds;
  }

  /** Asks other seeds from now on. */
  useSeeds(seeds: readonly string[]): void {
    this.seeds = seeds;
  }

  /** Asks seeds for the routers that they know until the signal aborts. */
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
        this.greetAnySeed();
      }
      // Routers that begin to use relays must agree on them soon.
      const isLarge = fleet.countRouters() > largestMesh;
      intervalMs =
        isAlone || isLarge !== wasLarge
          ? seedIntervalMs
          : Math.min(longestSeedIntervalMs, intervalMs * 2);
      wasLarge = isLarge;
      await waitFor(intervalMs, signal);
    }
  }

  /** Tells a single router of this one. */
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

  /** Gives a greeting the answer that it asks for. */
  answer(host: string, wanted: WantedAnswer): void {
    if (wanted === WantedAnswer.None) return;
    this.greet(host, WantedAnswer.None);
    if (wanted !== WantedAnswer.Roster) return;
    const {send} = this.options;
    send(host, {kind: DatagramKind.Roster, members: this.listRoster()});
  }

  /** Takes the list of a seed. */
  recordRoster(members: readonly Member[]): void {
    const {fleet} = this.options;
    const routers = Math.max(members.length, fleet.countRouters());
    if (routers > largestMesh) fleet.recordRoster(members);
    else this.greetUnknown(members.map(({host}) => host));
  }

  /** Sends a report to routers that only the peer knew. */
  greetUnknown(hosts: readonly string[]): void {
    const {fleet, address} = this.options;
    const nowMs = performance.now();
    for (const host of hosts) {
      if (host === address || fleet.isKnown(host)) continue;
      const lastMs = this.contactedAtMs.get(host) ?? -Infinity;
      if (nowMs - lastMs < greetingIntervalMs) continue;
      this.contactedAtMs.set(host, nowMs);
      this.greet(host, WantedAnswer.Report);
    }
  }

  /** Names of this router with some others that it knows. */
  buildIdentity(): PeerIdentity {
    const {fleet, endpoints} = this.options;
    const hosts = fleet.listAlive().map(peer => peer.host);
    const first = Math.floor(Math.random() * hosts.length);
    const sample = [...hosts.slice(first), ...hosts.slice(0, first)];
    const contacts = sample.slice(0, sampledContacts);
    return {...endpoints, contacts, wantedAnswer: WantedAnswer.None};
  }

  private greetAnySeed(): void {
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

  private listRoster(): Member[] {
    const {fleet, endpoints, address, reports} = this.options;
    const others = fleet.listHeard().map(toMember);
    return [...others, {...endpoints, host: address, status: reports.status}];
  }
}

/** A known router as lists name it. */
export function toMember({
  host,
  status,
  identity: {vm, zone, callers, peers, linkMbps},
}: {
  readonly host: string;
  readonly status: Member['status'];
  readonly identity: RouterEndpoints;
}): Member {
  return {host, status, vm, zone, callers, peers, linkMbps};
}
