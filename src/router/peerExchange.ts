/** Exchange of reports with the other routers over UDP. */
import dgram from 'node:dgram';
import {waitFor} from '../node/delay.js';
import type {Log} from '../node/log.js';
import {assertNever} from '../protocol/assertNever.js';
import {computeKey} from './compactKey.js';
import type {CrashSuspects} from './crashSuspects.js';
import {DatagramKind, decodeDatagram, encodeDatagram} from './datagramCodec.js';
import type {DeploymentStore} from './deploymentStore.js';
import type {FleetView} from './fleetView.js';
import type {OwnReports} from './ownReports.js';
import type {PeerIdentity, PeerReport, RouterEndpoints} from './peerReport.js';
import {PeerReads} from './peerReads.js';
import type {PublishedStateReader} from './publishedState.js';
import {RelayChoice} from './relayChoice.js';
import {RelayDuty} from './relayDuty.js';
import type {RelayReport} from './relayReport.js';
import type {ServerDirectory} from './serverDirectory.js';

/**
 * Time between reports while the load changes, for a fleet of up to
 * `smallFleet` routers, in milliseconds. A longer one lets routers choose the
 * same backend server at the same time.
 */
const reportIntervalMs = 90;
/** With more routers the interval grows, so that each gets as many reports. */
const smallFleet = 16;
/** A larger fleet uses relays, so that reports don't grow with its square. */
const largestMesh = 24;
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
/** Time between questions to seeds while no other router is known. */
const seedIntervalMs = 500;
/** Time between questions to seeds when routers are known. */
const seedRefreshMs = 3_000;
/**
 * A contact is greeted again after this time if it hasn't answered. Each answer
 * names all routers, so that a starting router hears of the same ones from all.
 */
const greetingIntervalMs = 500;
/** Contacts in a report that answers a question, and in others. */
const maxContacts = 200;
const sampledContacts = 2;
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
  readonly reader: PublishedStateReader;
  readonly log: Log;
  readonly reports: OwnReports;
  /** Takes a prompt part that another router has placed, by keys. */
  readonly recordPlacement: (part: number, server: number) => void;
  readonly endpoints: RouterEndpoints;
}

/** Sends the own report when something changed, and takes those of others. */
export class PeerExchange {
  private readonly socket = dgram.createSocket('udp4');
  /** Totals since the start, for logs. */
  readonly counts = {sent: 0, sentBytes: 0, greetings: 0};
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
  private readonly contactedAtMs = new Map<string, number>();
  private seeds: readonly string[];

  constructor(private readonly options: PeerExchangeOptions) {
    const {address, endpoints, fleet, reports} = options;
    this.seeds = options.seeds;
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
  }

  /** Reads of published state from other routers since the start. */
  get pulls(): number {
    return this.reads.count;
  }

  /** True in a fleet that is too large for reports to all. */
  get usesRelays(): boolean {
    return this.options.fleet.listKnown().length >= largestMesh;
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
    this.seeds = seeds;
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

  /** Asks seeds for their reports until the signal aborts. */
  async runSeeding(signal: AbortSignal): Promise<void> {
    const {fleet, address} = this.options;
    while (!signal.aborted) {
      const hosts = this.seeds.map(seed => seed.split(':')[0]);
      for (const host of hosts) {
        if (host !== address) this.greet(host, maxContacts, true);
      }
      const isAlone = fleet.listAlive().length === 0;
      await waitFor(isAlone ? seedIntervalMs : seedRefreshMs, signal);
    }
  }

  private computeWaitMs(sinceMs: number): number {
    if (this.isUrgent) return 0;
    const routers = this.options.fleet.listKnown().length + 1;
    const members = this.duty.listMembers().length;
    const idleMs = members > 0 ? relayIdleIntervalMs : idleIntervalMs;
    const intervalMs = this.isChanged ? reportIntervalMs : idleMs;
    const growth =
      routers > largestMesh ? members / smallZone : routers / smallFleet;
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
      this.sendAsRelay(relay === undefined, isFull);
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
    for (const {host} of this.options.fleet.listKnown()) {
      this.sendBytes(host, bytes);
    }
  }

  private sendToRelay(relay: string, isFull: boolean): void {
    const {fleet, reports} = this.options;
    const report = this.buildReport(true, isFull);
    fleet.noteOwnReport(report.sequence, reports.listReported());
    const bytes = encodeDatagram({kind: DatagramKind.Report, report});
    this.sendBytes(relay, bytes);
  }

  private buildReport(isForRelay: boolean, isFull: boolean): PeerReport {
    const identity = isFull
      ? this.buildIdentity(sampledContacts, false)
      : undefined;
    return this.options.reports.build(isForRelay, identity);
  }

  /** @param isChosen - false while members still report here by an older view */
  private sendAsRelay(isChosen: boolean, wantsFull: boolean): void {
    const {address, endpoints, reports} = this.options;
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
      isCounted: isChosen,
    };
    const report = this.duty.build(self, isFull);
    const bytes = encodeDatagram({kind: DatagramKind.Relay, report});
    for (const host of this.listOtherRelays()) this.sendBytes(host, bytes);
    const parts: Array<[string, Uint8Array]> = [
      [address, bytes],
      ...this.duty.drainForeign(),
    ];
    const bundle = encodeDatagram({kind: DatagramKind.Bundle, parts});
    for (const host of this.duty.listMembers()) this.sendBytes(host, bundle);
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

  /** Tells a single router of this one. */
  private greet(host: string, contacts: number, wantsAnswer: boolean): void {
    const {reports} = this.options;
    const isForRelay = this.usesRelays && this.choice.chooseOwn() === host;
    this.counts.greetings += 1;
    const identity = this.buildIdentity(contacts, wantsAnswer);
    const report = reports.buildGreeting(isForRelay, identity);
    this.sendBytes(host, encodeDatagram({kind: DatagramKind.Report, report}));
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

  private buildIdentity(contacts: number, wantsAnswer: boolean): PeerIdentity {
    const {fleet, endpoints} = this.options;
    const hosts = fleet.listAlive().map(peer => peer.host);
    const first = Math.floor(Math.random() * hosts.length);
    const sample = [...hosts.slice(first), ...hosts.slice(0, first)];
    return {...endpoints, contacts: sample.slice(0, contacts), wantsAnswer};
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
      this.greet(host, 0, true);
      return;
    }
    for (const [part, server] of report.placements) {
      recordPlacement(part, server);
    }
    for (const [fingerprint, breaks] of report.suspects) {
      suspects.recordPeerBreaks(computeKey(host), fingerprint, breaks);
    }
    if (report.identity) {
      this.greetContacts(report.identity);
      const {wantsAnswer} = report.identity;
      if (wantsAnswer) this.greet(host, maxContacts, false);
    }
    if (report.isForRelay) {
      if (this.duty.recordMember(host, report, peer.identity)) this.announce();
      else if (hasNews(report)) this.noteChange();
    }
    this.reads.follow(report, peer.identity.peers, signal);
  }

  private receiveRelayReport(report: RelayReport, host: string): void {
    const {fleet, suspects, recordPlacement, address} = this.options;
    fleet.recordRelay(host, report);
    for (const [part, server] of report.placements) {
      recordPlacement(part, server);
    }
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

  /** Sends a report to routers that only the peer knew. */
  private greetContacts({contacts}: PeerIdentity): void {
    const {fleet, address} = this.options;
    const nowMs = performance.now();
    for (const host of contacts) {
      if (host === address || fleet.isKnown(host)) continue;
      const lastMs = this.contactedAtMs.get(host) ?? -Infinity;
      if (nowMs - lastMs < greetingIntervalMs) continue;
      this.contactedAtMs.set(host, nowMs);
      this.greet(host, 0, true);
    }
  }
}

/** True for a report that members should get before the next idle interval. */
function hasNews({
  servers,
  placements,
  suspects,
}: PeerReport | RelayReport): boolean {
  return servers.length + placements.length + suspects.length > 0;
}
