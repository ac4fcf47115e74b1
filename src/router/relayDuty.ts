/** What a router does as the relay of others. */
import {computeKey} from './compactKey.js';
import {LoadSums} from './loadSums.js';
import {
  RouterStatus,
  type PeerReport,
  type RouterEndpoints,
  type ServerReport,
  type StateVersions,
} from './peerReport.js';
import type {Member, RelayReport} from './relayReport.js';

/** A member that was silent for this long isn't one any more. */
const memberForMs = 1_500;
/** The same for a resting member. */
const restingMemberForMs = 4_000;
/**
 * A member that another relay counts has moved there if it was silent here for
 * this long: more than two intervals of reports.
 */
const movedAfterMs = 250;
/** Source of the own load among the sums. */
const ownSource = 'own';

interface MemberState {
  member: Member;
  sequence: number;
  heardAtMs: number;
  /** It has had nothing since it joined or woke. */
  isNew: boolean;
}

/** The relay itself, as one of its members. */
export interface RelaySelf {
  readonly versions: StateVersions;
  readonly member: Member;
  readonly incarnation: number;
  readonly sequence: number;
  readonly servers: readonly ServerReport[];
  readonly placements: PeerReport['placements'];
  readonly suspects: PeerReport['suspects'];
  readonly notices: PeerReport['notices'];
  /** Routers of the fleet that it knows. */
  readonly routers: number;
  /**
   * Relay of the zone, to which it reports itself; undefined when it is that
   * one. Members that report here didn't know of it when they chose.
   */
  readonly relay: Member | undefined;
}

/** Collects reports of members and of other relays between two sends. */
export class RelayDuty {
  private readonly sums = new LoadSums();
  private readonly members = new Map<string, MemberState>();
  private readonly heard = new Set<string>();
  private readonly changed = new Set<string>();
  private placements: Array<readonly [number, number]> = [];
  private suspects: Array<readonly [number, number, number]> = [];
  private parts: Array<[string, Uint8Array]> = [];

  /** True when a member's full report is known. */
  isMember(host: string): boolean {
    return this.members.has(host);
  }

  /** IP addresses of the members. */
  listMembers(): string[] {
    return [...this.members.keys()];
  }

  /** True for a member that was told nothing since it joined or woke. */
  isNew(host: string): boolean {
    return this.members.get(host)?.isNew ?? false;
  }

  /** These members have got everything. */
  noteTold(hosts: readonly string[]): void {
    for (const host of hosts) {
      const state = this.members.get(host);
      if (state) state.isNew = false;
    }
  }

  /** IP addresses of members that get loads. */
  listActive(): string[] {
    return this.listMembers().filter(host => !this.isResting(host));
  }

  /** IP addresses of members that get no loads. */
  listResting(): string[] {
    return this.listMembers().filter(host => this.isResting(host));
  }

  /** Takes a member's report; returns whether its status changed. */
  recordMember(
    host: string,
    report: PeerReport,
    endpoints: RouterEndpoints,
  ): boolean {
    const {status, sequence, servers, identity} = report;
    const known = this.members.get(host);
    const {vm, zone, callers, peers, linkMbps} = endpoints;
    const member: Member = {host, status, vm, zone, callers, peers, linkMbps};
    const heardAtMs = performance.now();
    const isChanged = known?.member.status !== status;
    const isNew = isChanged || known.isNew;
    this.members.set(host, {member, sequence, heardAtMs, isNew});
    this.heard.add(host);
    if (identity) this.sums.replace(host, servers);
    else this.sums.update(host, servers);
    this.placements.push(...report.placements);
    const key = computeKey(host);
    for (const [fingerprint, breaks] of report.suspects) {
      this.suspects.push([key, fingerprint, breaks]);
    }
    if (isChanged) this.changed.add(host);
    return isChanged;
  }

  /** Keeps what another relay sent for the members. */
  recordForeign(
    host: string,
    datagram: Uint8Array,
    {sequences}: RelayReport,
  ): void {
    if (this.members.size === 0) return;
    this.parts.push([host, datagram]);
    const sinceMs = performance.now() - movedAfterMs;
    const keys = new Set(sequences.map(([key]) => key));
    for (const [member, {heardAtMs}] of this.members) {
      // A resting member has no load that could count twice.
      if (this.isResting(member)) continue;
      if (heardAtMs >= sinceMs || !keys.has(computeKey(member))) continue;
      this.forget(member);
    }
  }

  /** Builds the next report; it is full or has what changed since the last. */
  build(self: RelaySelf, isFull: boolean): RelayReport {
    this.forgetSilent();
    if (self.relay) this.sums.remove(ownSource);
    else if (isFull) this.sums.replace(ownSource, self.servers);
    else this.sums.update(ownSource, self.servers);
    if (isFull) this.sums.rebuild();
    const report = isFull ? this.buildAll(self) : this.buildChanges(self);
    this.heard.clear();
    this.changed.clear();
    this.placements = [];
    this.suspects = [];
    return report;
  }

  /**
   * Builds everything as of the last report, for members that joined since. The
   * own servers of `self` may be only those that changed, so that they are not
   * taken again.
   */
  buildAll(self: RelaySelf): RelayReport {
    const states = [...this.members.values()];
    const members = states.map(({member}) => member);
    return {
      ...this.buildParts(self, states),
      isFull: true,
      servers: this.sums.listAll(),
      members: [...members, self.member, ...this.listUnreported(self)],
    };
  }

  private buildChanges(self: RelaySelf): RelayReport {
    const states = [...this.heard].flatMap(h => this.members.get(h) ?? []);
    const members = states.map(({member}) => member);
    return {
      ...this.buildParts(self, states),
      isFull: false,
      servers: this.sums.drainChanged(),
      members: members.filter(({host}) => this.changed.has(host)),
    };
  }

  private buildParts(
    self: RelaySelf,
    states: readonly MemberState[],
  ): Omit<RelayReport, 'isFull' | 'servers' | 'members'> {
    const key = computeKey(self.member.host);
    const {incarnation, versions, routers, notices} = self;
    return {
      incarnation,
      routers,
      peers: self.member.peers,
      ...versions,
      sequences: [
        ...states.map(({member, sequence}): [number, number] => [
          computeKey(member.host),
          sequence,
        ]),
        [key, self.sequence],
        ...this.listUnreported(self).map(({host}): [number, number] => [
          computeKey(host),
          0,
        ]),
      ],
      placements: [...this.placements, ...self.placements],
      suspects: [
        ...this.suspects,
        ...self.suspects.map(
          ([fingerprint, breaks]): [number, number, number] => [
            key,
            fingerprint,
            breaks,
          ],
        ),
      ],
      notices,
    };
  }

  /** The zone's relay, for members that didn't know of it. */
  private listUnreported({relay}: RelaySelf): Member[] {
    return relay !== undefined && !this.members.has(relay.host) ? [relay] : [];
  }

  /**
   * Builds what resting members need: versions, and which routers are alive.
   *
   * @param alive - the routers that they shall know
   * @param isFull - names the routers, not only their keys
   */
  buildBeat(
    {member, incarnation, versions, routers, notices}: RelaySelf,
    alive: readonly Member[],
    isFull: boolean,
  ): RelayReport {
    const listed = [...alive, member];
    return {
      incarnation,
      peers: member.peers,
      routers,
      isFull: false,
      ...versions,
      servers: [],
      sequences: listed.map(({host}) => [computeKey(host), 0]),
      placements: [],
      suspects: [],
      notices,
      members: isFull ? listed : [],
    };
  }

  /** Takes what other relays sent since the last call. */
  drainForeign(): Array<[string, Uint8Array]> {
    const {parts} = this;
    this.parts = [];
    return parts;
  }

  private isResting(host: string): boolean {
    return this.members.get(host)?.member.status === RouterStatus.Resting;
  }

  private forgetSilent(): void {
    const nowMs = performance.now();
    for (const [host, {member, heardAtMs}] of this.members) {
      const isResting = member.status === RouterStatus.Resting;
      const limitMs = isResting ? restingMemberForMs : memberForMs;
      if (nowMs - heardAtMs > limitMs) this.forget(host);
    }
  }

  private forget(host: string): void {
    this.members.delete(host);
    this.sums.remove(host);
  }
}
