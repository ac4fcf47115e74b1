/** Exchange of reports with the other routers over UDP. */
import dgram from 'node:dgram';
import {waitFor} from '../node/delay.js';
import type {Log} from '../node/log.js';
import {assertNever} from '../protocol/assertNever.js';
import {computeKey} from './compactKey.js';
import type {CrashSuspects} from './crashSuspects.js';
import {DatagramKind, decodeDatagram, encodeDatagram} from './datagramCodec.js';
import type {DeploymentStore} from './deploymentStore.js';
import type {FleetView, Peer} from './fleetView.js';
import type {OwnReports} from './ownReports.js';
import {largestMesh, PeerDiscovery, toMember} from './peerDiscovery.js';
import {
  RouterStatus,
  WantedAnswer,
  type PeerReport,
  type RouterEndpoints,
} from './peerReport.js';
import {PeerReads} from './peerReads.js';
import type {PublishedStateReader} from './publishedState.js';
import {RelayChoice} from './relayChoice.js';
import {RelayDuty, type RelaySelf} from './relayDuty.js';
import type {RelayReport} from './relayReport.js';
import type {ServerDirectory} from './serverDirectory.js';
import type {SharedNotices} from './sharedNotices.js';

/**
 * Time between reports while the load changes, for a fleet of up to
 * `smallFleet` routers, in milliseconds. A longer one lets routers choose the
 * same backend server at the same time.
 */
const reportIntervalMs = 90;
/** With more routers the interval grows, so that each gets as many reports. */
const smallFleet = 16;
/** Time between reports of an idle router, in milliseconds. */
const idleIntervalMs = 400;
/** The same for a relay, whose silence is a sign of its end. */
const relayIdleIntervalMs = 200;
/** With more members the interval of a relay grows. */
const smallZone = 32;
/**
 * Time between full reports in milliseconds; those between carry only changes
 * and may be lost.
 */
const fullIntervalMs = 1_200;
/** Time between reports of a resting router in milliseconds. */
const restingIntervalMs = 1_200;
/** Time between what resting routers get in milliseconds. */
const beatIntervalMs = 400;
/** Time between beats that name all routers that a resting one must know. */
const fullBeatIntervalMs = 4_800;

export interface PeerExchangeOptions {
  readonly address: string;
  /** UDP port, the same on every VM. */
  readonly port: number;
  /** `host:port` of other routers. */
  readonly seeds: readonly string[];
  readonly fleet: FleetView;
  readonly deployments: DeploymentStore;
  readonly servers: ServerDirectory;
  readonly suspects: CrashSuspects;
  readonly notices: SharedNotices;
  readonly reader: PublishedStateReader;
  readonly log: Log;
  /** Time by which all routers know of a change, in milliseconds. */
  readonly leaveBoundMs: number;
  readonly reports: OwnReports;
  /** Takes a prompt part that another router has placed, by keys. */
  readonly recordPlacement: (part: number, server: number) => void;
  readonly endpoints: RouterEndpoints;
}

/** Sends the own report when something changed, and takes those of others. */
export class PeerExchange {
  private readonly socket = dgram.createSocket('udp4');
  /** Totals since the start, for logs. */
  readonly counts = {sent: 0, sentBytes: 0};
  private isChanged = true;
  private isUrgent = false;
  private fullSentAtMs = -Infinity;
  private wakeSender: (() => void) | undefined;
  private readonly reads: PeerReads;
  private readonly duty = new RelayDuty();
  private readonly choice: RelayChoice;
  private wasRelay = false;
  /** Last relay of the own zone that was logged. */
  private relay: string | undefined;
  private readonly discovery: PeerDiscovery;
  private beatSentAtMs = -Infinity;
  private fullBeatSentAtMs = -Infinity;
  /** Active routers of the last beat. */
  private namesInBeat = '';

  constructor(private readonly options: PeerExchangeOptions) {
    const {address, endpoints, fleet, reports} = options;
    this.reads = new PeerReads({
      ...options,
      announce: () => this.announce(),
    });
    this.choice = new RelayChoice(fleet, {
      host: address,
      zone: endpoints.zone,
      linkMbps: endpoints.linkMbps,
      getStatus: () => reports.status,
    });
    this.discovery = new PeerDiscovery({
      ...options,
      send: (host, datagram) => this.sendBytes(host, encodeDatagram(datagram)),
      getRelay: () => (this.usesRelays ? this.choice.chooseOwn() : undefined),
    });
  }

  /** Greetings of single routers since the start. */
  get greetings(): number {
    return this.discovery.greetings;
  }

  /** Reads of published state from other routers since the start. */
  get pulls(): number {
    return this.reads.count;
  }

  /** True in a fleet that is too large for reports to all. */
  get usesRelays(): boolean {
    return this.options.fleet.countRouters() > largestMesh;
  }

  /** True while routers of the zone report to this one. */
  get isRelay(): boolean {
    return this.duty.listMembers().length > 0;
  }

  /** Receives until the signal aborts. */
  async listen(signal: AbortSignal): Promise<void> {
    const {address, port, log} = this.options;
    this.socket.on('message', (bytes, sender) =>
      this.receive(bytes, sender.address, signal),
    );
    this.socket.on('error', error =>
      log.warn('peer socket failed', {error: error.message}),
    );
    await new Promise<void>(resolve =>
      this.socket.bind(port, address, resolve),
    );
    signal.addEventListener('abort', () => this.socket.close(), {once: true});
  }

  /** Asks other seeds from now on. */
  useSeeds(seeds: readonly string[]): void {
    this.discovery.useSeeds(seeds);
  }

  /** The next report goes out with the next interval. */
  noteChange(): void {
    this.isChanged = true;
    this.wakeSender?.();
  }

  /** The next report goes out at once. */
  announce(): void {
    this.isChanged = true;
    this.isUrgent = true;
    this.wakeSender?.();
  }

  /** Sends reports until the signal aborts. */
  async runSender(signal: AbortSignal): Promise<void> {
    let sentAtMs = -Infinity;
    while (!signal.aborted) {
      const waitMs = this.computeWaitMs(performance.now() - sentAtMs);
      if (waitMs > 0) {
        await this.waitForChange(waitMs, signal);
        continue;
      }
      sentAtMs = performance.now();
      this.isChanged = false;
      this.isUrgent = false;
      this.sendReports();
    }
  }

  /** Looks for other routers until the signal aborts. */
  runDiscovery(signal: AbortSignal): Promise<void> {
    return this.discovery.run(signal);
  }

  private computeWaitMs(sinceMs: number): number {
    if (this.isUrgent) return 0;
    const {fleet, reports} = this.options;
    const members = this.duty.listActive().length;
    const {isRelay} = this;
    if (reports.status === RouterStatus.Resting && !isRelay) {
      return restingIntervalMs - sinceMs;
    }
    const idleMs = isRelay ? relayIdleIntervalMs : idleIntervalMs;
    const intervalMs = this.isChanged ? reportIntervalMs : idleMs;
    const growth = this.usesRelays
      ? members / smallZone
      : (fleet.countActive() + 1) / smallFleet;
    return intervalMs * Math.max(1, growth) - sinceMs;
  }

  private waitForChange(waitMs: number, signal: AbortSignal): Promise<void> {
    const woken = new AbortController();
    const wasChanged = this.isChanged;
    this.wakeSender = () => {
      if (!wasChanged || this.isUrgent) woken.abort();
    };
    return waitFor(waitMs, AbortSignal.any([signal, woken.signal]));
  }

  private sendReports(): void {
    const isFull = performance.now() - this.fullSentAtMs >= fullIntervalMs;
    if (isFull) this.fullSentAtMs = performance.now();
    if (!this.usesRelays) {
      this.sendToAll(isFull);
      return;
    }
    const relay = this.choice.chooseOwn();
    this.noteRelay(relay);
    if (relay === undefined || this.duty.listMembers().length > 0) {
      this.sendAsRelay(relay, isFull);
    }
    if (relay !== undefined) this.sendToRelay(relay, isFull);
  }

  private noteRelay(relay: string | undefined): void {
    const {log, address} = this.options;
    const host = relay ?? address;
    if (host === this.relay) return;
    this.relay = host;
    log.note('relay chosen', {relay: host, isSelf: relay === undefined});
  }

  private sendToAll(isFull: boolean): void {
    const report = this.buildReport(false, isFull);
    const bytes = encodeDatagram({kind: DatagramKind.Report, report});
    const resting: string[] = [];
    for (const {host, status} of this.options.fleet.listKnown()) {
      if (status === RouterStatus.Resting) resting.push(host);
      else this.sendBytes(host, bytes);
    }
    if (!this.takeBeat() || resting.length === 0) return;
    const beat = {...report, servers: [], placements: [], suspects: []};
    const beatBytes = encodeDatagram({kind: DatagramKind.Report, report: beat});
    for (const host of resting) this.sendBytes(host, beatBytes);
  }

  /** True when resting routers should hear again. */
  private takeBeat(): boolean {
    const nowMs = performance.now();
    if (nowMs - this.beatSentAtMs < beatIntervalMs) return false;
    this.beatSentAtMs = nowMs;
    return true;
  }

  private sendToRelay(relay: string, isFull: boolean): void {
    const {fleet, reports} = this.options;
    const report = this.buildReport(true, isFull);
    fleet.noteOwnReport(report.sequence, reports.listReported());
    const bytes = encodeDatagram({kind: DatagramKind.Report, report});
    this.sendBytes(relay, bytes);
  }

  private buildReport(isForRelay: boolean, isFull: boolean): PeerReport {
    const identity = isFull ? this.discovery.buildIdentity() : undefined;
    return this.options.reports.build(isForRelay, identity);
  }

  /** @param relay - another one while members report here by an older view */
  private sendAsRelay(relay: string | undefined, wantsFull: boolean): void {
    const {address, endpoints, reports, fleet} = this.options;
    const isChosen = relay === undefined;
    const peer = fleet.listAlive().find(({host}) => host === relay);
    const isFull = wantsFull || isChosen !== this.wasRelay;
    this.wasRelay = isChosen;
    const own = isChosen ? this.buildReport(false, isFull) : undefined;
    const {incarnation, sequence, status, versions} = reports;
    const self = {
      versions,
      member: {...endpoints, host: address, status},
      incarnation,
      sequence,
      servers: own?.servers ?? [],
      placements: own?.placements ?? [],
      suspects: own?.suspects ?? [],
      notices: reports.listNotices(),
      routers: fleet.listKnown().length + 1,
      relay: peer && toMember(peer),
    };
    const report = this.duty.build(self, isFull);
    const bytes = encodeDatagram({kind: DatagramKind.Relay, report});
    for (const host of this.listOtherRelays()) this.sendBytes(host, bytes);
    const foreign = this.duty.drainForeign();
    const active = this.duty.listActive();
    const isNew = (host: string) => !isFull && this.duty.isNew(host);
    this.sendBundle(
      active.filter(host => !isNew(host)),
      [[address, bytes], ...foreign],
    );
    // In a fleet that starts, a full report to all for each member that joins
    // would grow with the cube of the zone.
    const joined = active.filter(isNew);
    if (joined.length > 0) {
      const full = this.duty.buildAll(self);
      const fullBytes = encodeDatagram({
        kind: DatagramKind.Relay,
        report: full,
      });
      this.sendBundle(joined, [[address, fullBytes], ...foreign]);
    }
    this.duty.noteTold(active);
    if (this.takeBeat()) this.sendBeat(self);
  }

  private sendBundle(
    hosts: readonly string[],
    parts: Array<[string, Uint8Array]>,
  ): void {
    if (hosts.length === 0) return;
    const bundle = encodeDatagram({kind: DatagramKind.Bundle, parts});
    for (const host of hosts) this.sendBytes(host, bundle);
  }

  /**
   * Tells resting members which routers take requests. Those that are new, and all
   * of them now and then, also hear of the resting ones of the zone.
   */
  private sendBeat(self: RelaySelf): void {
    const {fleet, endpoints} = this.options;
    const nowMs = performance.now();
    const isFull = nowMs - this.fullBeatSentAtMs >= fullBeatIntervalMs;
    if (isFull) this.fullBeatSentAtMs = nowMs;
    const isResting = ({status}: Peer) => status === RouterStatus.Resting;
    const alive = fleet.listAlive();
    const active = alive.filter(peer => !isResting(peer));
    const near = alive.filter(
      peer => isResting(peer) && peer.identity.zone === endpoints.zone,
    );
    const names = active.map(({host}) => host).join();
    const isChanged = names !== this.namesInBeat;
    this.namesInBeat = names;
    const resting = this.duty.listResting();
    const wantsAll = (host: string) => isFull || this.duty.isNew(host);
    const sendTo = (hosts: string[], peers: Peer[], isNamed: boolean) => {
      if (hosts.length === 0) return;
      const members = peers.map(toMember);
      const report = this.duty.buildBeat(self, members, isNamed);
      const bytes = encodeDatagram({kind: DatagramKind.Relay, report});
      this.sendBundle(hosts, [[self.member.host, bytes]]);
    };
    sendTo(resting.filter(wantsAll), [...active, ...near], true);
    const informed = resting.filter(host => !wantsAll(host));
    sendTo(informed, active, isChanged);
    this.duty.noteTold(resting);
  }

  /** Relays of other zones, and those that other members of this zone use. */
  private listOtherRelays(): Set<string> {
    const {fleet, address, endpoints} = this.options;
    const relays = new Set(fleet.listRelays());
    const zones = new Set(fleet.listAlive().map(peer => peer.identity.zone));
    zones.delete(endpoints.zone);
    for (const zone of zones) {
      const relay = this.choice.choose(zone);
      if (relay !== undefined) relays.add(relay);
    }
    for (const member of this.duty.listMembers()) relays.delete(member);
    relays.delete(address);
    return relays;
  }

  private sendBytes(host: string, bytes: Uint8Array): void {
    this.counts.sent += 1;
    this.counts.sentBytes += bytes.length;
    this.socket.send(bytes, this.options.port, host, error => {
      if (!error) return;
      const {log} = this.options;
      log.noteDebug('report not sent', {host, error: error.message});
    });
  }

  private receive(bytes: Buffer, host: string, signal: AbortSignal): void {
    if (host === this.options.address) return;
    const decoded = decodeDatagram(bytes);
    if (decoded.isErr()) {
      const {log} = this.options;
      log.noteDebug('datagram dropped', {host, error: decoded.error.message});
      return;
    }
    const datagram = decoded.value;
    switch (datagram.kind) {
      case DatagramKind.Report:
        this.receiveReport(datagram.report, host, signal);
        return;
      case DatagramKind.Relay:
        this.duty.recordForeign(host, bytes, datagram.report);
        this.receiveRelayReport(datagram.report, host);
        this.reads.follow(datagram.report, datagram.report.peers, signal);
        if (hasNews(datagram.report)) this.noteChange();
        return;
      case DatagramKind.Bundle:
        this.receiveBundle(datagram.parts, signal);
        return;
      case DatagramKind.Roster:
        this.discovery.recordRoster(datagram.members);
        return;
      default:
        assertNever(datagram);
    }
  }

  private receiveReport(
    report: PeerReport,
    host: string,
    signal: AbortSignal,
  ): void {
    const {fleet, suspects, recordPlacement} = this.options;
    const peer = fleet.record(host, report);
    const isFirst = !report.identity && !this.duty.isMember(host);
    if (!peer || (report.isForRelay && isFirst)) {
      this.discovery.greet(host, WantedAnswer.Report);
      return;
    }
    for (const [part, server] of report.placements) {
      recordPlacement(part, server);
    }
    for (const [fingerprint, breaks] of report.suspects) {
      suspects.recordPeerBreaks(computeKey(host), fingerprint, breaks);
    }
    this.options.notices.recordPeer(report.notices, report.isForRelay);
    if (report.identity) {
      const {contacts, wantedAnswer} = report.identity;
      if (!this.usesRelays) this.discovery.greetUnknown(contacts);
      this.discovery.answer(host, wantedAnswer);
    }
    if (report.isForRelay) {
      const isChanged = this.duty.recordMember(host, report, peer.identity);
      if (isChanged || hasNews(report)) this.noteChange();
    }
    this.reads.follow(report, peer.identity.peers, signal);
  }

  private receiveRelayReport(report: RelayReport, host: string): void {
    const {fleet, suspects, recordPlacement, address} = this.options;
    fleet.recordRelay(host, report);
    for (const [part, server] of report.placements) {
      recordPlacement(part, server);
    }
    this.options.notices.recordPeer(report.notices, false);
    const ownKey = computeKey(address);
    for (const [router, fingerprint, breaks] of report.suspects) {
      if (router === ownKey) continue;
      suspects.recordPeerBreaks(router, fingerprint, breaks);
    }
  }

  /** The first part is of the sender, which has read what it offers. */
  private receiveBundle(
    parts: ReadonlyArray<readonly [host: string, datagram: Uint8Array]>,
    signal: AbortSignal,
  ): void {
    for (const [index, [host, bytes]] of parts.entries()) {
      const decoded = decodeDatagram(bytes);
      if (decoded.isErr() || decoded.value.kind !== DatagramKind.Relay) {
        const {log} = this.options;
        log.noteDebug('part of a bundle dropped', {host});
        continue;
      }
      if (host === this.options.address) continue;
      const {report} = decoded.value;
      this.receiveRelayReport(report, host);
      if (index === 0) this.reads.follow(report, report.peers, signal);
    }
  }
}

/** True for a report that members should get before the next idle interval. */
function hasNews({
  servers,
  placements,
  suspects,
  notices,
}: PeerReport | RelayReport): boolean {
  const lists = [servers, placements, suspects, notices];
  return lists.some(list => list.length > 0);
}
