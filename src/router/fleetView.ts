/** What is known of the other routers of the fleet. */
import {computeKey} from './compactKey.js';
import {LoadSums} from './loadSums.js';
import {
  isServing,
  RouterStatus,
  type PeerReport,
  type RouterEndpoints,
  type ServerReport,
} from './peerReport.js';
import type {Member, RelayReport} from './relayReport.js';
import type {ServerLoad} from './serverLoad.js';

/** A router that was silent for this long isn't offered to callers. */
const aliveForMs = 1_000;
/**
 * The same for a resting one, which is heard less often and offered only while
 * there are no others.
 */
const restingAliveForMs = 10_000;
/** Load that a silent router reported counts for this long. */
const loadCountsForMs = 1_500;
/** A router that was silent for this long is forgotten. */
const forgetAfterMs = 15_000;
/**
 * A router that sent its load here so lately counts by itself, also when the
 * sums of another relay contain it: about two intervals of reports.
 */
const directCountsForMs = 250;
/** Own reports kept, to leave them out of the sums of relays. */
const maxOwnReports = 32;

/** Another router. */
export interface Peer {
  /** IP address. */
  readonly host: string;
  readonly identity: RouterEndpoints;
  readonly incarnation: number;
  readonly status: RouterStatus;
  heardAtMs: number;
  /** When it sent its load to this router, which is its relay. */
  countedHereAtMs: number;
  /** When the sums of a relay contained it. */
  inRelaySumsAtMs: number;
}

/** The part of the sums of a relay that is this router's own. */
interface OwnPart {
  readonly relay: string;
  readonly sequence: number;
}

/** Keeps the newest reports of routers and of relays. */
export class FleetView {
  private readonly peers = new Map<string, Peer>();
  private readonly hostsByKey = new Map<number, string>();
  /** By host, when they were heard. */
  private readonly relays = new Map<
    string,
    {incarnation: number; heardAtMs: number; routers: number}
  >();
  /** Sums of peers that report here, and of relays. */
  private readonly loads = new LoadSums();
  /** Own load that the sums of a relay contain. */
  private readonly ownLoads = new LoadSums();
  private readonly ownReports = new Map<number, readonly ServerReport[]>();
  private ownPart: OwnPart | undefined;

  /** @param host - IP address of this router */
  constructor(private readonly host = '') {}

  /**
   * Takes a report that came from its router; undefined when a full one is
   * needed first.
   */
  record(host: string, report: PeerReport): Peer | undefined {
    const {identity, incarnation, status, isForRelay, servers} = report;
    const known = this.peers.get(host);
    const endpoints =
      identity ??
      (known?.incarnation === incarnation ? known.identity : undefined);
    if (!endpoints) return undefined;
    const heardAtMs = performance.now();
    const peer = this.note(host, endpoints, {incarnation, status, heardAtMs});
    if (!isForRelay && this.isInRelaySums(peer)) return peer;
    if (isForRelay) peer.countedHereAtMs = heardAtMs;
    if (identity) this.loads.replace(host, servers);
    else if (this.loads.has(host)) this.loads.update(host, servers);
    else return undefined;
    return peer;
  }

  /** Takes what a relay sums up over its members. */
  recordRelay(host: string, report: RelayReport): void {
    const {incarnation, members, sequences, servers, routers} = report;
    const {isFull} = report;
    const heardAtMs = performance.now();
    for (const member of members) this.noteEndpoints(member, -Infinity);
    for (const [key, sequence] of sequences) {
      const member = this.hostsByKey.get(key);
      if (key === computeKey(this.host)) this.leaveOut({relay: host, sequence});
      if (member !== undefined) this.noteMember(member, heardAtMs);
    }
    const known = this.relays.get(host);
    this.relays.set(host, {incarnation, heardAtMs, routers});
    const source = formatRelaySource(host);
    const isSame = known?.incarnation === incarnation && this.loads.has(source);
    if (isFull) this.loads.replace(source, servers);
    else if (isSame) this.loads.update(source, servers);
  }

  /**
   * Takes routers that another one heard lately; they count as heard now, so
   * that two that fell silent for each other choose the same relay again.
   */
  recordRoster(members: readonly Member[]): void {
    for (const member of members) {
      this.noteEndpoints(member, performance.now());
      const peer = this.peers.get(member.host);
      if (peer) peer.heardAtMs = performance.now();
    }
  }

  /** Routers that were heard in the last seconds, for the list of a seed. */
  listHeard(): Peer[] {
    const sinceMs = performance.now() - restingAliveForMs;
    return this.listKnown().filter(({heardAtMs}) => heardAtMs >= sinceMs);
  }

  /** Routers of the fleet, this one included, as far as anyone said. */
  countRouters(): number {
    const reported = [...this.relays.values()].map(({routers}) => routers);
    return Math.max(this.listKnown().length + 1, ...reported);
  }

  /** Routers that take requests from callers now, without this one. */
  countActive(): number {
    return this.listAlive().filter(
      ({status}) => status !== RouterStatus.Resting,
    ).length;
  }

  /** Remembers the own load as it was sent to a relay. */
  noteOwnReport(sequence: number, servers: readonly ServerReport[]): void {
    this.ownReports.set(sequence, servers);
    if (this.ownReports.size <= maxOwnReports) return;
    const [oldest] = this.ownReports.keys();
    this.ownReports.delete(oldest);
  }

  /** When a relay was heard last; -Infinity when it never was. */
  getRelayHeardAtMs(host: string): number {
    return this.relays.get(host)?.heardAtMs ?? -Infinity;
  }

  /** Relays that were heard lately. */
  listRelays(): string[] {
    const sinceMs = performance.now() - loadCountsForMs;
    return [...this.relays]
      .filter(([, {heardAtMs}]) => heardAtMs >= sinceMs)
      .map(([host]) => host);
  }

  /** Routers that were heard lately, from them or from a relay. */
  listAlive(): Peer[] {
    const nowMs = performance.now();
    return [...this.peers.values()].filter(({status, heardAtMs}) => {
      const isResting = status === RouterStatus.Resting;
      const countsForMs = isResting ? restingAliveForMs : aliveForMs;
      return nowMs - heardAtMs <= countsForMs;
    });
  }

  /** Routers that can take requests of callers. */
  listReady(): Peer[] {
    return this.listAlive().filter(({status}) => isServing(status));
  }

  /** All routers that were heard in the last seconds, also silent ones. */
  listKnown(): Peer[] {
    const sinceMs = performance.now() - forgetAfterMs;
    for (const {host, heardAtMs} of this.peers.values()) {
      if (heardAtMs >= sinceMs) continue;
      this.peers.delete(host);
      this.loads.remove(host);
    }
    return [...this.peers.values()];
  }

  isKnown(host: string): boolean {
    return this.peers.has(host);
  }

  /** Load of a backend server, by compact key, through the other routers. */
  sumLoad(server: number): ServerLoad | undefined {
    const load = this.loads.get(server);
    const own = this.ownLoads.get(server);
    if (!load || !own) return load;
    return {
      requests: Math.max(0, load.requests - own.requests),
      promptTokens: Math.max(0, load.promptTokens - own.promptTokens),
      tightStreams: Math.max(0, load.tightStreams - own.tightStreams),
      failures: Math.max(0, load.failures - own.failures),
      answers: Math.max(0, load.answers - own.answers),
      slowness: load.slowness,
    };
  }

  /** Leaves routers and relays out of the sums that have fallen silent. */
  refresh(): void {
    const sinceMs = performance.now() - loadCountsForMs;
    for (const {host, heardAtMs} of this.peers.values()) {
      if (heardAtMs < sinceMs) this.loads.remove(host);
    }
    for (const [host, {heardAtMs}] of this.relays) {
      if (heardAtMs >= sinceMs) continue;
      this.loads.remove(formatRelaySource(host));
      this.relays.delete(host);
      if (this.ownPart?.relay === host) this.ownLoads.remove(this.host);
    }
    this.loads.rebuild();
  }

  private noteEndpoints(member: Member, firstHeardAtMs: number): void {
    const {host, status} = member;
    if (host === this.host) return;
    const known = this.peers.get(host);
    this.note(host, member, {
      incarnation: known?.incarnation ?? 0,
      status,
      heardAtMs: known?.heardAtMs ?? firstHeardAtMs,
    });
  }

  private note(
    host: string,
    identity: RouterEndpoints,
    state: Pick<Peer, 'incarnation' | 'status' | 'heardAtMs'>,
  ): Peer {
    const known = this.peers.get(host);
    const peer: Peer = {
      host,
      identity,
      ...state,
      countedHereAtMs: known?.countedHereAtMs ?? -Infinity,
      inRelaySumsAtMs: known?.inRelaySumsAtMs ?? -Infinity,
    };
    this.peers.set(host, peer);
    this.hostsByKey.set(computeKey(host), host);
    return peer;
  }

  /** The sums of a relay contain a router, so it doesn't count by itself. */
  private noteMember(host: string, heardAtMs: number): void {
    const peer = this.peers.get(host);
    if (!peer) return;
    peer.heardAtMs = heardAtMs;
    peer.inRelaySumsAtMs = heardAtMs;
    const isHere = heardAtMs - peer.countedHereAtMs < directCountsForMs;
    if (!isHere) this.loads.remove(host);
  }

  private isInRelaySums(peer: Peer): boolean {
    return performance.now() - peer.inRelaySumsAtMs < loadCountsForMs;
  }

  private leaveOut(part: OwnPart): void {
    const reports = this.ownReports.get(part.sequence);
    if (!reports) return;
    this.ownPart = part;
    this.ownLoads.replace(this.host, reports);
  }
}

/** Name of a relay's sums among the sources of load. */
function formatRelaySource(host: string): string {
  return `relay ${host}`;
}
