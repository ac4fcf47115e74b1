/** Discovers members by pinging addresses without a known live member. */
import {MemberRole, MemberState} from '../protocol/memberMessages.js';
import {waitFor} from './delay.js';
import type {MemberService} from './memberService.js';
import type {Membership} from './membership.js';
import {shuffle} from './shuffle.js';

const discoveryIntervalMs = 1_000;
/**
 * Addresses that are pinged in one interval. The number is independent of the
 * size of the fleet: all members together still try every address within
 * seconds.
 */
const addressesPerInterval = 2;
/** Addresses that are pinged in one interval while no other member is known. */
const addressesPerIntervalWhenAlone = 6;
/** Least time between two fetches of the member list of a peer. */
const minFetchIntervalMs = 5_000;

/** Ports for connections of peers; they are the same on every VM. */
export interface PeerPorts {
  gatewayPeers: number;
  dispatcherPeers: number;
}

/**
 * Finds members after a start and after a network partition. Addresses come
 * from the VM list and, as that may be unavailable, from the members that are
 * known as dead.
 */
export class MemberDiscovery {
  private lastFetchAtMs = -Infinity;

  constructor(
    private readonly membership: Membership,
    private readonly members: MemberService,
    private readonly ports: PeerPorts,
  ) {}

  /** Pings some addresses per interval until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await waitFor(discoveryIntervalMs * (0.75 + Math.random() / 2), signal);
      if (!signal.aborted) await this.pingCandidates();
    }
  }

  /**
   * Pings some addresses. When one answers, fetches its list of members, at
   * most once per `minFetchIntervalMs` unless no other member is known.
   */
  async pingCandidates(): Promise<void> {
    const isAlone = this.membership.listPresent().length === 1;
    const count = isAlone
      ? addressesPerIntervalWhenAlone
      : addressesPerInterval;
    const addresses = shuffle(this.listCandidates()).slice(0, count);
    const results = await Promise.all(
      addresses.map(async address => ({
        address,
        result: await this.members.pingAddress(address),
      })),
    );
    const answered = results.find(({result}) => result.isOk());
    const nowMs = performance.now();
    if (!answered) return;
    if (!isAlone && nowMs - this.lastFetchAtMs < minFetchIntervalMs) return;
    this.lastFetchAtMs = nowMs;
    await this.members.fetchMembers(answered.address);
  }

  /** Lists the addresses at which no present member is known. */
  listCandidates(): string[] {
    const members = this.membership.listAll();
    const present = new Set<string>();
    const candidates = new Set<string>();
    for (const {peerAddress, state} of members) {
      if (state === MemberState.Dead) candidates.add(peerAddress);
      else present.add(peerAddress);
    }
    for (const address of this.membership.listVmAddresses()) {
      for (const role of Object.values(MemberRole)) {
        candidates.add(buildPeerAddress(address, role, this.ports));
      }
    }
    // Excludes this process's own address, also after it has left the fleet.
    present.add(this.membership.getSelf().peerAddress);
    return [...candidates].filter(address => !present.has(address));
  }
}

/**
 * Builds the peer address of the member with the given role on a VM. Puts an
 * IPv6 address in brackets.
 *
 * @example
 * buildPeerAddress('10.0.0.7', MemberRole.Gateway, ports);
 */
export function buildPeerAddress(
  address: string,
  role: MemberRole,
  ports: PeerPorts,
): string {
  const host = address.includes(':') ? `[${address}]` : address;
  switch (role) {
    case MemberRole.Gateway:
      return `${host}:${ports.gatewayPeers}`;
    case MemberRole.Dispatcher:
      return `${host}:${ports.dispatcherPeers}`;
  }
}
