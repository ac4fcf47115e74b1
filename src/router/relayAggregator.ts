/** Aggregation of member reports on a router that acts as a relay. */
import {computeCompactKey} from './compactKey.js';
import {LoadSums} from './loadSums.js';
import {
  RouterStatus,
  type PeerReport,
  type RouterEndpoints,
  type ServerReport,
  type StateVersions,
} from './peerReport.js';
import {hasUpdates, type FleetMember, type RelayReport} from './relayReport.js';

/** A member silent for longer than this is removed. */
const memberTimeoutMs = 1_500;
/** The same for a resting member. */
const restingMemberTimeoutMs = 4_000;
/**
 * A member that another relay counts has moved there if it was silent here for
 * this long. More than two report intervals.
 */
const movedMemberTimeoutMs = 250;
/**
 * Most prompt parts with their engines in one report, the newest. More come
 * together only while the link is too slow for the usual interval.
 */
const maxPlacements = 100;
/** Name of the own load as a source in the sums. */
const ownSource = 'own';

interface MemberState {
  member: FleetMember;
  sequence: number;
  heardAtMs: number;
  /** True until the first report after the member joined or changed status. */
  isNew: boolean;
}

/** A report of another relay that the members haven't got yet. */
interface OtherRelayDatagram {
  readonly host: string;
  readonly datagram: Uint8Array;
  readonly isFull: boolean;
}

/** The relay's own part of a report. */
export interface RelaySelf {
  readonly versions: StateVersions;
  readonly member: FleetMember;
  readonly incarnation: number;
  readonly sequence: number;
  readonly servers: readonly ServerReport[];
  readonly placements: PeerReport['placements'];
  readonly notices: PeerReport['notices'];
  readonly crashEvidence: PeerReport['crashEvidence'];
  readonly limits: PeerReport['limits'];
  /** Sums over this router and its members. */
  readonly totals: RelayReport['totals'];
  /** Number of routers that it knows, including itself. */
  readonly routers: number;
  /**
   * Relay of the zone, to which this router reports itself; undefined if it is
   * that relay. Members that report here didn't know the zone's relay when they
   * selected one.
   */
  readonly relay: FleetMember | undefined;
}

/** Collects the reports of members and of other relays between two sends. */
export class RelayAggregator {
  private readonly sums = new LoadSums();
  private readonly members = new Map<string, MemberState>();
  private readonly reportedHosts = new Set<string>();
  private readonly changedHosts = new Set<string>();
  private placements: Array<readonly [number, number]> = [];
  private otherRelayDatagrams: OtherRelayDatagram[] = [];

  /** True if a full report of the router was received. */
  isMember(host: string): boolean {
    return this.members.has(host);
  }

  /** IP addresses of the members. */
  listMembers(): string[] {
    return [...this.members.keys()];
  }

  /** Zones of the members; several while other zones use this relay. */
  listZones(): Set<string> {
    return new Set([...this.members.values()].map(({member}) => member.zone));
  }

  /** True for a member that joined or changed status since the last report. */
  isNew(host: string): boolean {
    return this.members.get(host)?.isNew ?? false;
  }

  /** Marks members as sent a full report. */
  markInformed(hosts: readonly string[]): void {
    for (const host of hosts) {
      const state = this.members.get(host);
      if (state) state.isNew = false;
    }
  }

  /** IP addresses of members that are sent loads. */
  listActive(): string[] {
    return this.listMembers().filter(host => !this.isResting(host));
  }

  /** IP addresses of members that are sent heartbeats without loads. */
  listResting(): string[] {
    return this.listMembers().filter(host => this.isResting(host));
  }

  /** Records a member's report; returns whether its status changed. */
  recordMember(
    host: string,
    report: PeerReport,
    endpoints: RouterEndpoints,
  ): boolean {
    const {status, sequence, servers, identity} = report;
    const known = this.members.get(host);
    const {vm, zone, callers, peers, linkMbps, processorShare} = endpoints;
    const member: FleetMember = {
      host,
      status,
      vm,
      zone,
      callers,
      peers,
      linkMbps,
      processorShare,
    };
    const heardAtMs = performance.now();
    const isChanged = known?.member.status !== status;
    const isNew = isChanged || known.isNew;
    this.members.set(host, {member, sequence, heardAtMs, isNew});
    this.reportedHosts.add(host);
    if (identity) this.sums.replace(host, servers);
    else this.sums.update(host, servers);
    this.placements.push(...report.placements);
    if (isChanged) this.changedHosts.add(host);
    return isChanged;
  }

  /**
   * Keeps another relay's report for the members.
   *
   * @param isLate - the members get it later than the next report comes; only
   * the last full report and the last changes of each relay are kept then, so
   * that the traffic doesn't grow with the delay
   */
  recordOtherRelay(
    host: string,
    datagram: Uint8Array,
    report: RelayReport,
    isLate = false,
  ): void {
    if (this.members.size === 0) return;
    const {sequences, isFull} = report;
    const waiting = this.otherRelayDatagrams;
    const isNeeded =
      isFull || hasUpdates(report) || !waiting.some(o => o.host === host);
    if (isLate && isNeeded) {
      this.otherRelayDatagrams = waiting.filter(
        other => other.host !== host || (!isFull && other.isFull),
      );
    }
    if (isNeeded) this.otherRelayDatagrams.push({host, datagram, isFull});
    const sinceMs = performance.now() - movedMemberTimeoutMs;
    const keys = new Set(sequences.map(([key]) => key));
    for (const [member, {heardAtMs}] of this.members) {
      if (heardAtMs >= sinceMs || !keys.has(computeCompactKey(member)))
        continue;
      // A resting member reports less often than that, so that it may still be
      // a member here. Its next full report then counts its requests again.
      if (this.isResting(member)) this.sums.remove(member);
      else this.removeMember(member);
    }
  }

  /** Builds the next report: a full one, or the changes since the last. */
  build(self: RelaySelf, isFull: boolean): RelayReport {
    this.evictSilentMembers();
    if (self.relay) this.sums.remove(ownSource);
    else if (isFull) this.sums.replace(ownSource, self.servers);
    else this.sums.update(ownSource, self.servers);
    if (isFull) this.sums.rebuild();
    const report = isFull ? this.buildFull(self) : this.buildChanges(self);
    this.reportedHosts.clear();
    this.changedHosts.clear();
    this.placements = [];
    return report;
  }

  /**
   * Builds a full report as of the last one, for members that have joined
   * since. Ignores `self.servers`, which may contain only changes and is
   * already in the sums.
   */
  buildFull(self: RelaySelf): RelayReport {
    const states = [...this.members.values()];
    const members = states.map(({member}) => member);
    return {
      ...this.buildCommonFields(self, states),
      isFull: true,
      servers: this.sums.listAll(),
      members: [...members, self.member, ...this.listZoneRelay(self)],
    };
  }

  private buildChanges(self: RelaySelf): RelayReport {
    const states = [...this.reportedHosts].flatMap(
      h => this.members.get(h) ?? [],
    );
    const members = states.map(({member}) => member);
    return {
      ...this.buildCommonFields(self, states),
      isFull: false,
      servers: this.sums.drainChanged(),
      members: members.filter(({host}) => this.changedHosts.has(host)),
    };
  }

  private buildCommonFields(
    self: RelaySelf,
    states: readonly MemberState[],
  ): Omit<RelayReport, 'isFull' | 'servers' | 'members'> {
    const key = computeCompactKey(self.member.host);
    const {incarnation, versions, routers, notices, crashEvidence, limits} =
      self;
    const {totals} = self;
    return {
      incarnation,
      routers,
      peers: self.member.peers,
      ...versions,
      sequences: [
        ...states.map(({member, sequence}): [number, number] => [
          computeCompactKey(member.host),
          sequence,
        ]),
        [key, self.sequence],
        ...this.listZoneRelay(self).map(({host}): [number, number] => [
          computeCompactKey(host),
          0,
        ]),
      ],
      placements: [...this.placements, ...self.placements].slice(
        -maxPlacements,
      ),
      notices,
      crashEvidence,
      limits,
      totals,
    };
  }

  /** The zone's relay, if it is another router that isn't a member here. */
  private listZoneRelay({relay}: RelaySelf): FleetMember[] {
    return relay !== undefined && !this.members.has(relay.host) ? [relay] : [];
  }

  /**
   * Builds a report for resting members: versions, and which routers are alive.
   *
   * @param alive - the live routers to list
   * @param isFull - whether to include the routers' addresses, not only their
   * keys
   */
  buildHeartbeat(
    self: RelaySelf,
    alive: readonly FleetMember[],
    isFull: boolean,
  ): RelayReport {
    const {member, incarnation, versions, routers} = self;
    const {notices, crashEvidence, limits, totals} = self;
    const listed = [...alive, member];
    return {
      incarnation,
      peers: member.peers,
      routers,
      isFull: false,
      ...versions,
      servers: [],
      sequences: listed.map(({host}) => [computeCompactKey(host), 0]),
      placements: [],
      notices,
      crashEvidence,
      limits,
      totals,
      members: isFull ? listed : [],
    };
  }

  /** Lists the members, for another relay that gets no sums with them. */
  listAllMembers(): FleetMember[] {
    return [...this.members.values()].map(({member}) => member);
  }

  /** Returns and clears the reports of other relays since the last call. */
  drainOtherRelays(): Array<[string, Uint8Array]> {
    const waiting = this.otherRelayDatagrams;
    this.otherRelayDatagrams = [];
    return waiting.map(({host, datagram}) => [host, datagram]);
  }

  private isResting(host: string): boolean {
    return this.members.get(host)?.member.status === RouterStatus.Resting;
  }

  private evictSilentMembers(): void {
    const nowMs = performance.now();
    for (const [host, {member, heardAtMs}] of this.members) {
      const isResting = member.status === RouterStatus.Resting;
      const limitMs = isResting ? restingMemberTimeoutMs : memberTimeoutMs;
      if (nowMs - heardAtMs > limitMs) this.removeMember(host);
    }
  }

  private removeMember(host: string): void {
    this.members.delete(host);
    this.sums.remove(host);
  }
}
