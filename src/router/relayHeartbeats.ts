/** Heartbeats of a relay: versions, and which routers are alive, without loads. */
import {DatagramKind, encodeDatagram} from './datagramCodec.js';
import type {FleetView, Peer} from './fleetView.js';
import {toMember} from './peerDiscovery.js';
import {RouterStatus} from './peerReport.js';
import type {RelayAggregator, RelaySelf} from './relayAggregator.js';
import type {FleetMember} from './relayReport.js';

/** Time between heartbeats to resting routers, in milliseconds. */
const intervalMs = 400;
/**
 * Time between heartbeats that list all routers that a resting one must know,
 * in milliseconds.
 */
const fullIntervalMs = 4_800;
/**
 * Time between heartbeats while reports wait for the link, in milliseconds.
 * Members take silence for a failure of their relay.
 */
const interimIntervalMs = 200;

export interface RelayHeartbeatsOptions {
  /** Zone of this router. */
  readonly zone: string;
  readonly fleet: FleetView;
  readonly aggregator: RelayAggregator;
  readonly send: (host: string, datagram: Uint8Array) => void;
}

/**
 * Sends heartbeats to resting members, and to all members and other relays
 * while the link is too slow for reports with loads.
 */
export class RelayHeartbeats {
  private sentAtMs = -Infinity;
  private fullSentAtMs = -Infinity;
  private interimSentAtMs = -Infinity;
  /**
   * Hosts and statuses of the active routers in the last heartbeat. Resting
   * members need both to select another relay before theirs has left.
   */
  private statuses = '';

  constructor(private readonly options: RelayHeartbeatsOptions) {}

  /** Starts a new interval if the last one is over. */
  tryStart(): boolean {
    const nowMs = performance.now();
    if (nowMs - this.sentAtMs < intervalMs) return false;
    this.sentAtMs = nowMs;
    return true;
  }

  /** Notes that a report replaces the next interim heartbeat. */
  recordReport(): void {
    this.interimSentAtMs = performance.now();
  }

  /** Time until the next interim heartbeat is due, in milliseconds. */
  measureInterimWaitMs(): number {
    return interimIntervalMs - (performance.now() - this.interimSentAtMs);
  }

  /**
   * Tells resting members which routers take requests. New members, and at
   * longer intervals all of them, also get the resting routers of the members'
   * zones.
   */
  sendToResting(self: RelaySelf): void {
    const {fleet, aggregator, zone} = this.options;
    const nowMs = performance.now();
    const isFull = nowMs - this.fullSentAtMs >= fullIntervalMs;
    if (isFull) this.fullSentAtMs = nowMs;
    const alive = fleet.listAlive();
    const active = alive.filter(peer => !isResting(peer));
    const zones = aggregator.listZones().add(zone);
    const restingInZones = alive.filter(
      peer => isResting(peer) && zones.has(peer.identity.zone),
    );
    const statuses = [...active, self.member]
      .map(({host, status}) => `${host} ${status}`)
      .join();
    const isChanged = statuses !== this.statuses;
    this.statuses = statuses;
    const resting = aggregator.listResting();
    const needsFull = (host: string) => isFull || aggregator.isNew(host);
    const sendTo = (
      hosts: string[],
      peers: Peer[],
      includesMembers: boolean,
    ) => {
      if (hosts.length === 0) return;
      this.sendBundle(hosts, self, peers.map(toMember), includesMembers);
    };
    sendTo(resting.filter(needsFull), [...active, ...restingInZones], true);
    const informed = resting.filter(host => !needsFull(host));
    sendTo(informed, active, isChanged);
    aggregator.markInformed(resting);
  }

  /**
   * Tells members and other relays versions, notices and which routers are
   * alive, while reports with loads wait for the link.
   */
  sendInterim(self: RelaySelf, otherRelays: Iterable<string>): void {
    this.recordReport();
    const {fleet, aggregator, send} = this.options;
    const active = fleet.listAlive().filter(peer => !isResting(peer));
    this.sendBundle(aggregator.listActive(), self, active.map(toMember), false);
    // Two relays that also named the members of others would keep those alive
    // for each other.
    const ownMembers = aggregator.listAllMembers();
    const report = aggregator.buildHeartbeat(self, ownMembers, false);
    const datagram = encodeDatagram({kind: DatagramKind.Relay, report});
    for (const host of otherRelays) send(host, datagram);
  }

  private sendBundle(
    hosts: readonly string[],
    self: RelaySelf,
    alive: readonly FleetMember[],
    includesMembers: boolean,
  ): void {
    const {aggregator, send} = this.options;
    const report = aggregator.buildHeartbeat(self, alive, includesMembers);
    const datagram = encodeDatagram({kind: DatagramKind.Relay, report});
    const bundle = encodeDatagram({
      kind: DatagramKind.Bundle,
      parts: [[self.member.host, datagram]],
    });
    for (const host of hosts) send(host, bundle);
  }
}

function isResting({status}: Peer): boolean {
  return status === RouterStatus.Resting;
}
