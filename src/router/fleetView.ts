/** State of the other routers in the fleet, from their reports. */
import {computeCompactKey} from './compactKey.js';
import {LoadSums} from './loadSums.js';
import {
  isServing,
  RouterStatus,
  type PeerReport,
  type RouterEndpoints,
  type ServerReport,
} from './peerReport.js';
import {addBacklogs} from './prefillBacklog.js';
import type {FleetMember, RelayReport} from './relayReport.js';
import type {ServerLoad} from './serverLoad.js';

/** A router silent for longer than this is not offered to callers. */
const aliveTimeoutMs = 1_000;
/**
 * The same for a resting router, which reports less often and is offered only
 * if there are no others.
 */
const restingAliveTimeoutMs = 10_000;
/**
 * A member without reports for this long no longer takes that for a failure of
 * its relay, in milliseconds. Resting members select another one after 1.5 s.
 */
const relayLossTimeoutMs = 3_000;
/** Load reported by a router or relay expires after this silence. */
const loadExpiryMs = 1_500;
/** A router silent for longer than this is removed from the view. */
const peerExpiryMs = 15_000;
/**
 * The load of a router that reported to this relay within this time is counted
 * directly, even if the sums of another relay contain it. About two report
 * intervals.
 */
const directReportWindowMs = 250;
/** Own reports kept for subtracting the own load from the sums of relays. */
const maxOwnReports = 32;

/** Another router. */
export interface Peer {
  /** IP address. */
  readonly host: string;
  readonly identity: RouterEndpoints;
  readonly incarnation: number;
  readonly status: RouterStatus;
  heardAtMs: number;
  /** When it last reported its load to this router as its relay. */
  memberReportAtMs: number;
  /** When the sums of a relay last contained its load. */
  inRelaySumsAtMs: number;
}

/** Which own report the sums of a relay contain. */
interface OwnContribution {
  readonly relay: string;
  readonly sequence: number;
}

/** Keeps the latest reports of routers and relays. */
export class FleetView {
  private readonly peers = new Map<string, Peer>();
  private readonly hostsByKey = new Map<number, string>();
  /** Relays by host. */
  private readonly relays = new Map<
    string,
    {incarnation: number; heardAtMs: number; routers: number}
  >();
  /** Load from direct reports of routers and from the sums of relays. */
  private readonly loads = new LoadSums();
  /** Own load contained in the sums of a relay; subtracted from `loads`. */
  private readonly ownLoads = new LoadSums();
  private readonly ownReports = new Map<number, readonly ServerReport[]>();
  /** When this router last received a report, from any router or relay. */
  private lastReportAtMs = -Infinity;
  /** The relay whose report this was; undefined if it was no relay's. */
  private lastRelay: string | undefined;
  private ownContribution: OwnContribution | undefined;

  /** @param host - IP address of this router */
  constructor(private readonly host = '') {}

  /**
   * Records a report received directly from its router. Returns undefined if a
   * full report is needed first.
   */
  record(host: string, report: PeerReport): Peer | undefined {
    const {identity, incarnation, status, isForRelay, servers} = report;
    const known = this.peers.get(host);
    const endpoints =
      identity ??
      (known?.incarnation === incarnation ? known.identity : undefined);
    if (!endpoints) return undefined;
    const heardAtMs = performance.now();
    this.lastReportAtMs = heardAtMs;
    // A greeting says nothing about who reports to this router.
    if (!identity) this.lastRelay = undefined;
    const peer = this.storePeer(host, endpoints, {
      incarnation,
      status,
      heardAtMs,
    });
    if (!isForRelay && this.isInRelaySums(peer)) return peer;
    if (isForRelay) peer.memberReportAtMs = heardAtMs;
    if (identity) this.loads.replace(host, servers);
    else if (this.loads.has(host)) this.loads.update(host, servers);
    else return undefined;
    return peer;
  }

  /**
   * Records the sums of a relay over its members.
   *
   * @param sender - the relay that passed the report on
   */
  recordRelayReport(
    host: string,
    report: RelayReport,
    sender: string = host,
  ): void {
    const {incarnation, members, sequences, servers, routers} = report;
    const {isFull} = report;
    const heardAtMs = performance.now();
    this.lastReportAtMs = heardAtMs;
    this.lastRelay = sender;
    for (const member of members) this.recordEndpoints(member, -Infinity);
    for (const [key, sequence] of sequences) {
      const member = this.hostsByKey.get(key);
      if (key === computeCompactKey(this.host))
        this.recordOwnContribution({relay: host, sequence});
      if (member !== undefined) this.recordRelayedMember(member, heardAtMs);
    }
    const known = this.relays.get(host);
    this.relays.set(host, {incarnation, heardAtMs, routers});
    const source = formatRelaySource(host);
    const isSame = known?.incarnation === incarnation && this.loads.has(source);
    if (isFull) this.loads.replace(source, servers);
    else if (isSame) this.loads.update(source, servers);
  }

  /**
   * Records routers that another router has heard from recently. They count as
   * heard from now: two routers that have lost contact with each other thus
   * choose the same relay again.
   */
  recordRoster(members: readonly FleetMember[]): void {
    for (const member of members) {
      this.recordEndpoints(member, performance.now());
      const peer = this.peers.get(member.host);
      if (peer) peer.heardAtMs = performance.now();
    }
  }

  /** Routers heard from recently, resting ones included, for a roster. */
  listHeard(): Peer[] {
    const sinceMs = performance.now() - restingAliveTimeoutMs;
    return this.listKnown().filter(({heardAtMs}) => heardAtMs >= sinceMs);
  }

  /**
   * Size of the fleet including this router: the largest number that this
   * router or a relay knows.
   */
  countRouters(): number {
    const reported = [...this.relays.values()].map(({routers}) => routers);
    return Math.max(this.listKnown().length + 1, ...reported);
  }

  /** Number of other routers that are alive and not resting. */
  countActive(): number {
    return this.listAlive().filter(
      ({status}) => status !== RouterStatus.Resting,
    ).length;
  }

  /** Remembers the own load as sent to a relay. */
  recordOwnReport(sequence: number, servers: readonly ServerReport[]): void {
    this.ownReports.set(sequence, servers);
    if (this.ownReports.size <= maxOwnReports) return;
    const [oldest] = this.ownReports.keys();
    this.ownReports.delete(oldest);
  }

  /** Time of the last report of a relay; -Infinity if there was none. */
  getRelayHeardAtMs(host: string): number {
    return this.relays.get(host)?.heardAtMs ?? -Infinity;
  }

  /** Relays whose sums have not expired. */
  listRelays(): string[] {
    const sinceMs = performance.now() - loadExpiryMs;
    return [...this.relays]
      .filter(([, {heardAtMs}]) => heardAtMs >= sinceMs)
      .map(([host]) => host);
  }

  /** Routers that reported recently, directly or through a relay. */
  listAlive(): Peer[] {
    return this.listAliveAt(performance.now());
  }

  /** True if this router has recently received a report from any other. */
  hasContact(): boolean {
    return performance.now() - this.lastReportAtMs <= aliveTimeoutMs;
  }

  /**
   * Routers that were alive when this one last received a report. A member
   * hears from all others through its relay; once that is lost, their silence
   * says nothing about them.
   */
  listAliveAtLastReport(): Peer[] {
    return this.listAliveAt(Math.min(performance.now(), this.lastReportAtMs));
  }

  /** Live routers that take requests from callers. */
  listReady(): Peer[] {
    return this.listAlive().filter(({status}) => isServing(status));
  }

  /**
   * Live routers whose addresses may be given to callers. While a member has lost its
   * relay, those of the last report are listed without the relay: the silence of
   * the others would otherwise make all slow routers take their place.
   */
  listOfferable(): Peer[] {
    const silentMs = performance.now() - this.lastReportAtMs;
    const hasLostRelay =
      this.lastRelay !== undefined &&
      silentMs > aliveTimeoutMs &&
      silentMs <= relayLossTimeoutMs;
    const alive = hasLostRelay
      ? this.listAliveAtLastReport().filter(({host}) => host !== this.lastRelay)
      : this.listAlive();
    return alive.filter(({status}) => isServing(status));
  }

  /** Removes expired routers and returns the rest, including silent ones. */
  listKnown(): Peer[] {
    const sinceMs = performance.now() - peerExpiryMs;
    for (const {host, heardAtMs} of this.peers.values()) {
      if (heardAtMs >= sinceMs) continue;
      this.peers.delete(host);
      this.loads.remove(host);
    }
    return [...this.peers.values()];
  }

  /** Describes the known routers for operators. */
  describePeers(): object[] {
    return this.listKnown().map(({host, identity, status, heardAtMs}) => ({
      host,
      vm: identity.vm,
      status: RouterStatus[status],
      heardAgoMs: Math.round(performance.now() - heardAtMs),
    }));
  }

  isKnown(host: string): boolean {
    return this.peers.has(host);
  }

  /** Load of the other routers on a backend server, given by compact key. */
  sumLoad(server: number): ServerLoad | undefined {
    const load = this.loads.get(server);
    const own = this.ownLoads.get(server);
    if (!load || !own) return load;
    return {
      requests: Math.max(0, load.requests - own.requests),
      backlog: addBacklogs(load.backlog, own.backlog, -1).map(work =>
        Math.max(0, work),
      ),
      tightStreams: Math.max(0, load.tightStreams - own.tightStreams),
      failures: Math.max(0, load.failures - own.failures),
      answers: Math.max(0, load.answers - own.answers),
      slowness: load.slowness,
    };
  }

  /** Removes the load of silent routers and relays from the sums. */
  expireSilent(): void {
    const sinceMs = performance.now() - loadExpiryMs;
    for (const {host, heardAtMs} of this.peers.values()) {
      if (heardAtMs < sinceMs) this.loads.remove(host);
    }
    for (const [host, {heardAtMs}] of this.relays) {
      if (heardAtMs >= sinceMs) continue;
      this.loads.remove(formatRelaySource(host));
      this.relays.delete(host);
      if (this.ownContribution?.relay === host) this.ownLoads.remove(this.host);
    }
    this.loads.rebuild();
  }

  private listAliveAt(atMs: number): Peer[] {
    return [...this.peers.values()].filter(({status, heardAtMs}) => {
      const isResting = status === RouterStatus.Resting;
      const expiryMs = isResting ? restingAliveTimeoutMs : aliveTimeoutMs;
      return atMs - heardAtMs <= expiryMs;
    });
  }

  private recordEndpoints(member: FleetMember, firstHeardAtMs: number): void {
    const {host, status} = member;
    if (host === this.host) return;
    const known = this.peers.get(host);
    this.storePeer(host, member, {
      incarnation: known?.incarnation ?? 0,
      status,
      heardAtMs: known?.heardAtMs ?? firstHeardAtMs,
    });
  }

  private storePeer(
    host: string,
    identity: RouterEndpoints,
    state: Pick<Peer, 'incarnation' | 'status' | 'heardAtMs'>,
  ): Peer {
    const known = this.peers.get(host);
    const peer: Peer = {
      host,
      identity,
      ...state,
      memberReportAtMs: known?.memberReportAtMs ?? -Infinity,
      inRelaySumsAtMs: known?.inRelaySumsAtMs ?? -Infinity,
    };
    this.peers.set(host, peer);
    this.hostsByKey.set(computeCompactKey(host), host);
    return peer;
  }

  /**
   * Notes that the sums of a relay contain a router. Its directly reported load
   * no longer counts, unless it reports to this router as its relay.
   */
  private recordRelayedMember(host: string, heardAtMs: number): void {
    const peer = this.peers.get(host);
    if (!peer) return;
    peer.heardAtMs = heardAtMs;
    peer.inRelaySumsAtMs = heardAtMs;
    const isDirectMember =
      heardAtMs - peer.memberReportAtMs < directReportWindowMs;
    if (!isDirectMember) this.loads.remove(host);
  }

  private isInRelaySums(peer: Peer): boolean {
    return performance.now() - peer.inRelaySumsAtMs < loadExpiryMs;
  }

  private recordOwnContribution(contribution: OwnContribution): void {
    const reports = this.ownReports.get(contribution.sequence);
    if (!reports) return;
    this.ownContribution = contribution;
    this.ownLoads.replace(this.host, reports);
  }
}

/** Name of a relay as a source in the load sums. */
function formatRelaySource(host: string): string {
  return `relay ${host}`;
}
