/** Exchange of reports with the other routers over UDP. */
import type {InputMeter} from '../input/inputMeter.js';
import type {Evacuations} from '../evacuation/evacuations.js';
import {waitFor} from '../node/delay.js';
import {formatError, type Log} from '../node/log.js';
import {assertNever} from '../protocol/assertNever.js';
import {splitIntoBundles, type BundlePart} from './bundleParts.js';
import {DatagramKind, decodeDatagram, encodeDatagram} from './datagramCodec.js';
import type {DeploymentStore} from './deploymentStore.js';
import type {FleetView} from './fleetView.js';
import type {OwnReportBuilder} from './ownReportBuilder.js';
import {PacedSender} from './pacedSender.js';
import {maxMeshRouters, PeerDiscovery, toMember} from './peerDiscovery.js';
import {
  RouterStatus,
  WantedAnswer,
  type PeerReport,
  type RouterEndpoints,
} from './peerReport.js';
import {UdpPeerSocket, type PeerSocket} from './peerSocket.js';
import {PeerStateReader} from './peerStateReader.js';
import type {PublishedStateReader} from './publishedState.js';
import {RelayHeartbeats} from './relayHeartbeats.js';
import {RelaySelector} from './relaySelector.js';
import {RelayAggregator, type RelaySelf} from './relayAggregator.js';
import {hasUpdates, type RelayReport} from './relayReport.js';
import type {ServerDirectory} from './serverDirectory.js';
import {
  recordPeerState,
  recordRelayState,
  type SharedStateOptions,
} from './sharedState.js';

/**
 * Time between reports while the load changes, in milliseconds, in a fleet of
 * up to `baseRateRouters` routers. With a longer interval, routers choose the
 * same backend server at the same time.
 */
const reportIntervalMs = 90;
/**
 * With more routers the interval grows in proportion, which keeps the number of
 * reports that each receives constant.
 */
const baseRateRouters = 16;
/** Time between reports of an idle router, in milliseconds. */
const idleIntervalMs = 400;
/** The same for a relay, because its members take silence for a failure. */
const relayIdleIntervalMs = 200;
/** With more members, the interval of a relay grows in proportion. */
const baseRateMembers = 32;
/**
 * Time between full reports, in milliseconds. The reports between carry only
 * changes and may be lost.
 */
const fullReportIntervalMs = 1_200;
/** A relay whose link is too slow for that sends one of this many in full. */
const minReportsBetweenFull = 3;
/** Time between reports of a resting router, in milliseconds. */
const restingIntervalMs = 1_200;
export interface PeerExchangeOptions extends SharedStateOptions {
  readonly address: string;
  /** UDP port, the same on every VM. */
  readonly port: number;
  /** `host:port` of other routers. */
  readonly seeds: readonly string[];
  readonly fleet: FleetView;
  readonly deployments: DeploymentStore;
  readonly servers: ServerDirectory;
  readonly evacuations: Evacuations;
  readonly reader: PublishedStateReader;
  readonly meter: InputMeter;
  readonly log: Log;
  /**
   * Time within which all routers stop sending requests to a leaving backend
   * server, in milliseconds.
   */
  readonly leaveBoundMs: number;
  readonly reports: OwnReportBuilder;
  readonly endpoints: RouterEndpoints;
  /** A UDP socket unless given. */
  readonly socket?: PeerSocket;
}

/** Sends the own reports and processes those of other routers. */
export class PeerExchange {
  private readonly socket: PeerSocket;
  private readonly sender: PacedSender;
  /** Totals since the start, for logs. */
  readonly counts = {sent: 0, sentBytes: 0};
  private hasChanges = true;
  private isUrgent = false;
  private fullReportSentAtMs = -Infinity;
  private reportsSinceFull = 0;
  private wakeSender: (() => void) | undefined;
  private readonly reads: PeerStateReader;
  private readonly aggregator = new RelayAggregator();
  private readonly selector: RelaySelector;
  private wasRelay = false;
  /** Relay of the own zone that was logged last. */
  private relay: string | undefined;
  private readonly discovery: PeerDiscovery;
  private readonly heartbeats: RelayHeartbeats;

  constructor(private readonly options: PeerExchangeOptions) {
    const {address, endpoints, fleet, reports} = options;
    this.socket = options.socket ?? new UdpPeerSocket(options);
    this.sender = new PacedSender(this.socket, endpoints.linkMbps);
    this.reads = new PeerStateReader({
      ...options,
      announce: () => this.announce(),
    });
    this.selector = new RelaySelector(fleet, {
      host: address,
      zone: endpoints.zone,
      linkMbps: endpoints.linkMbps,
      getStatus: () => reports.status,
    });
    this.heartbeats = new RelayHeartbeats({
      zone: endpoints.zone,
      fleet,
      aggregator: this.aggregator,
      send: (host, datagram) => this.sendDatagram(host, datagram),
    });
    this.discovery = new PeerDiscovery({
      ...options,
      send: (host, datagram) =>
        this.sendDatagram(host, encodeDatagram(datagram)),
      getRelay: () => (this.usesRelays ? this.selector.select() : undefined),
    });
  }

  /** Greetings sent since the start. */
  get greetings(): number {
    return this.discovery.greetings;
  }

  /** Reads of published state from other routers since the start. */
  get pulls(): number {
    return this.reads.count;
  }

  /** True if the fleet is too large for reports from each router to all. */
  get usesRelays(): boolean {
    return this.options.fleet.countRouters() > maxMeshRouters;
  }

  /** True while other routers report to this one as their relay. */
  get isRelay(): boolean {
    return this.aggregator.listMembers().length > 0;
  }

  /** Opens the socket; receives datagrams until the signal aborts. */
  async listen(signal: AbortSignal): Promise<void> {
    signal.addEventListener('abort', () => this.sender.clear(), {once: true});
    await this.socket.listen(
      (bytes, host) => this.receive(bytes, host, signal),
      signal,
    );
  }

  /** Replaces the seeds. */
  useSeeds(seeds: readonly string[]): void {
    this.discovery.useSeeds(seeds);
  }

  /** Schedules a report for the end of the current report interval. */
  scheduleReport(): void {
    this.hasChanges = true;
    this.wakeSender?.();
  }

  /** Sends a report at once. */
  announce(): void {
    this.hasChanges = true;
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
      if (this.sender.isBusy) {
        const self = this.buildSelf(this.selector.select(), false);
        this.heartbeats.sendInterim(self, this.listOtherRelays());
        continue;
      }
      sentAtMs = performance.now();
      this.hasChanges = false;
      this.isUrgent = false;
      try {
        this.sendReports();
      } catch (error) {
        // The next report may do better; without any, the other routers take
        // this one for lost.
        const {log} = this.options;
        log.logError('report failed', {error: formatError(error)});
      }
    }
  }

  /** Discovers other routers until the signal aborts. */
  runDiscovery(signal: AbortSignal): Promise<void> {
    return this.discovery.run(signal);
  }

  private computeWaitMs(sinceMs: number): number {
    if (this.sender.isBusy) {
      const heartbeatMs = this.heartbeats.measureInterimWaitMs();
      return Math.min(heartbeatMs, this.sender.measureWaitMs() + 1);
    }
    if (this.isUrgent) return 0;
    const {fleet, reports} = this.options;
    const members = this.aggregator.listActive().length;
    const {isRelay} = this;
    if (reports.status === RouterStatus.Resting && !isRelay) {
      const intervalMs = restingIntervalMs - sinceMs;
      if (!this.usesRelays) return intervalMs;
      return Math.min(intervalMs, this.selector.measureRemainingMs() + 1);
    }
    const idleMs = isRelay ? relayIdleIntervalMs : idleIntervalMs;
    const intervalMs = this.hasChanges ? reportIntervalMs : idleMs;
    const intervalFactor = this.usesRelays
      ? members / baseRateMembers
      : (fleet.countActive() + 1) / baseRateRouters;
    return intervalMs * Math.max(1, intervalFactor) - sinceMs;
  }

  private waitForChange(waitMs: number, signal: AbortSignal): Promise<void> {
    const woken = new AbortController();
    const wasChanged = this.hasChanges;
    this.wakeSender = () => {
      if (!wasChanged || this.isUrgent) woken.abort();
    };
    return waitFor(waitMs, AbortSignal.any([signal, woken.signal]));
  }

  private sendReports(): void {
    const isFull = this.tryStartFullReport();
    if (!this.usesRelays) {
      this.sendToAll(isFull);
      return;
    }
    const relay = this.selector.select();
    this.logRelayChange(relay);
    if (relay === undefined || this.aggregator.listMembers().length > 0) {
      this.sendAsRelay(relay, isFull);
    }
    if (relay !== undefined) this.sendToRelay(relay, isFull);
  }

  /** True if the next report is to be a full one. */
  private tryStartFullReport(): boolean {
    this.reportsSinceFull += 1;
    const nowMs = performance.now();
    if (nowMs - this.fullReportSentAtMs < fullReportIntervalMs) return false;
    const isEnough = this.reportsSinceFull >= minReportsBetweenFull;
    if (this.isRelay && !isEnough) return false;
    this.fullReportSentAtMs = nowMs;
    this.reportsSinceFull = 0;
    return true;
  }

  private logRelayChange(relay: string | undefined): void {
    const {log, address} = this.options;
    const host = relay ?? address;
    if (host === this.relay) return;
    this.relay = host;
    log.logInfo('relay chosen', {relay: host, isSelf: relay === undefined});
  }

  private sendToAll(isFull: boolean): void {
    const report = this.buildReport(false, isFull);
    const bytes = encodeDatagram({kind: DatagramKind.Report, report});
    const resting: string[] = [];
    for (const {host, status} of this.options.fleet.listKnown()) {
      if (status === RouterStatus.Resting) resting.push(host);
      else this.sendDatagram(host, bytes);
    }
    if (!this.heartbeats.tryStart() || resting.length === 0) return;
    const heartbeat = {...report, servers: [], placements: []};
    const heartbeatBytes = encodeDatagram({
      kind: DatagramKind.Report,
      report: heartbeat,
    });
    for (const host of resting) this.sendDatagram(host, heartbeatBytes);
  }

  private sendToRelay(relay: string, isFull: boolean): void {
    const {fleet, reports} = this.options;
    const report = this.buildReport(true, isFull);
    fleet.recordOwnReport(report.sequence, reports.listReported());
    const bytes = encodeDatagram({kind: DatagramKind.Report, report});
    this.sendDatagram(relay, bytes);
  }

  private buildReport(isForRelay: boolean, isFull: boolean): PeerReport {
    const identity = isFull ? this.discovery.buildIdentity() : undefined;
    return this.options.reports.build(isForRelay, identity);
  }

  /**
   * @param relay - the zone's relay if that is another router; then this one
   * still serves members that have chosen it by an outdated view of the fleet
   */
  private sendAsRelay(relay: string | undefined, wantsFull: boolean): void {
    const {address, reports, totals} = this.options;
    const isChosen = relay === undefined;
    const isFull = wantsFull || isChosen !== this.wasRelay;
    this.wasRelay = isChosen;
    const own = isChosen ? this.buildReport(false, isFull) : undefined;
    const self = this.buildSelf(relay, isFull, own);
    const report = this.aggregator.build(self, isFull);
    const bytes = encodeDatagram({kind: DatagramKind.Relay, report});
    this.heartbeats.recordReport();
    for (const host of this.listOtherRelays()) {
      this.scheduleDatagram(host, bytes);
    }
    const otherRelayDatagrams = this.aggregator.drainOtherRelays();
    const active = this.aggregator.listActive();
    const isNew = (host: string) => !isFull && this.aggregator.isNew(host);
    this.sendBundle(
      active.filter(host => !isNew(host)),
      [[address, bytes], ...otherRelayDatagrams],
    );
    // Only members that have just joined get a full report. With a full report
    // to all members for each that joins, the traffic of a starting fleet would
    // grow with the cube of the zone.
    const joined = active.filter(isNew);
    // Resting and new members get no other report with all evidence.
    const listAll = (): RelaySelf =>
      isFull ? self : {...self, crashEvidence: reports.listCrashEvidence(true)};
    if (joined.length > 0) {
      const full = this.aggregator.buildFull({
        ...listAll(),
        totals: totals.listRelayed(true),
      });
      const fullBytes = encodeDatagram({
        kind: DatagramKind.Relay,
        report: full,
      });
      this.sendBundle(joined, [[address, fullBytes], ...otherRelayDatagrams]);
    }
    this.aggregator.markInformed(active);
    if (this.heartbeats.tryStart()) {
      this.heartbeats.sendToResting({
        ...listAll(),
        totals: totals.listRelayed(false),
      });
    }
  }

  /**
   * @param isFull - with all evidence against blocked suspects
   * @param own - the own load, if it is part of the sums
   */
  private buildSelf(
    relay: string | undefined,
    isFull: boolean,
    own?: PeerReport,
  ): RelaySelf {
    const {address, endpoints, reports, fleet, totals} = this.options;
    const peer = fleet.listAlive().find(({host}) => host === relay);
    const {incarnation, sequence, status, versions} = reports;
    return {
      versions,
      member: {...endpoints, host: address, status},
      incarnation,
      sequence,
      servers: own?.servers ?? [],
      placements: own?.placements ?? [],
      notices: reports.listNotices(),
      crashEvidence: reports.listCrashEvidence(isFull),
      limits: reports.listLimits(true),
      totals: totals.listRelayed(isFull),
      routers: fleet.listKnown().length + 1,
      relay: peer && toMember(peer),
    };
  }

  /** Sends reports in as few datagrams as possible. */
  private sendBundle(
    hosts: readonly string[],
    parts: readonly BundlePart[],
  ): void {
    if (hosts.length === 0) return;
    for (const group of splitIntoBundles(parts)) {
      const bundle = encodeDatagram({kind: DatagramKind.Bundle, parts: group});
      for (const host of hosts) this.scheduleDatagram(host, bundle);
    }
  }

  /** Relays of other zones, and any other relays heard from recently. */
  private listOtherRelays(): Set<string> {
    const {fleet, address, endpoints} = this.options;
    const relays = new Set(fleet.listRelays());
    const zones = new Set(fleet.listAlive().map(peer => peer.identity.zone));
    zones.delete(endpoints.zone);
    for (const zone of zones) {
      const relay = this.selector.selectForZone(zone);
      if (relay !== undefined) relays.add(relay);
    }
    for (const member of this.aggregator.listMembers()) relays.delete(member);
    relays.delete(address);
    return relays;
  }

  private sendDatagram(host: string, bytes: Uint8Array): void {
    this.countSent(bytes);
    this.sender.send(host, bytes);
  }

  /** Sends a report with loads, when the link has room. */
  private scheduleDatagram(host: string, bytes: Uint8Array): void {
    this.countSent(bytes);
    this.sender.schedule(host, bytes);
  }

  private countSent(bytes: Uint8Array): void {
    this.counts.sent += 1;
    this.counts.sentBytes += bytes.length;
  }

  private receive(bytes: Uint8Array, host: string, signal: AbortSignal): void {
    if (host === this.options.address) return;
    const decoded = decodeDatagram(bytes);
    if (decoded.isErr()) {
      const {log} = this.options;
      log.logDebug('datagram dropped', {host, error: decoded.error.message});
      return;
    }
    const datagram = decoded.value;
    switch (datagram.kind) {
      case DatagramKind.Report:
        this.receiveReport(datagram.report, host, signal);
        return;
      case DatagramKind.Relay:
        this.aggregator.recordOtherRelay(
          host,
          bytes,
          datagram.report,
          this.sender.isBusy,
        );
        this.receiveRelayReport(datagram.report, host, host);
        this.reads.syncFrom(datagram.report, datagram.report.peers, signal);
        if (hasUpdates(datagram.report)) this.scheduleReport();
        return;
      case DatagramKind.Bundle:
        this.receiveBundle(datagram.parts, host, signal);
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
    const peer = this.options.fleet.record(host, report);
    const isUnknownMember = !report.identity && !this.aggregator.isMember(host);
    if (!peer || (report.isForRelay && isUnknownMember)) {
      this.discovery.greet(host, WantedAnswer.Report);
      return;
    }
    recordPeerState(this.options, host, report);
    if (report.identity) {
      const {contacts, wantedAnswer} = report.identity;
      if (!this.usesRelays) this.discovery.greetUnknown(contacts);
      this.discovery.answer(host, wantedAnswer);
    }
    // Only greetings and the reports within a small fleet aren't for a relay.
    if (this.isRelay && !report.isForRelay && !report.identity) {
      this.discovery.notifyOfFleet(host);
    }
    if (report.isForRelay) {
      const isChanged = this.aggregator.recordMember(
        host,
        report,
        peer.identity,
      );
      if (isChanged || hasUpdates(report)) this.scheduleReport();
    }
    this.reads.syncFrom(report, peer.identity.peers, signal);
  }

  private receiveRelayReport(
    report: RelayReport,
    host: string,
    sender: string,
  ): void {
    this.options.fleet.recordRelayReport(host, report, sender);
    recordRelayState(this.options, host, report);
  }

  /**
   * Published state is read only from the sender, which itself follows the other
   * relays.
   */
  private receiveBundle(
    parts: ReadonlyArray<readonly [host: string, datagram: Uint8Array]>,
    sender: string,
    signal: AbortSignal,
  ): void {
    for (const [host, bytes] of parts) {
      const decoded = decodeDatagram(bytes);
      if (decoded.isErr() || decoded.value.kind !== DatagramKind.Relay) {
        const {log} = this.options;
        log.logDebug('datagram in a bundle dropped', {host});
        continue;
      }
      if (host === this.options.address) continue;
      const {report} = decoded.value;
      this.receiveRelayReport(report, host, sender);
      if (host === sender) this.reads.syncFrom(report, report.peers, signal);
    }
  }
}
