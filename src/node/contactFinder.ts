/** Pings addresses at which a member may be that isn't known as alive. */
import {MemberRole, MemberState} from '../protocol/memberMessages.js';
import {waitFor} from './delay.js';
import type {MemberService} from './memberService.js';
import type {Membership} from './membership.js';
import {shuffle} from './shuffle.js';

const contactIntervalMs = 1_000;
/**
 * Addresses tried in one interval. The number doesn't grow with the fleet: all
 * members together still try every address within seconds.
 */
const contactsPerInterval = 2;
/** Addresses tried in one interval while no other member is known. */
const firstContacts = 6;
/** A whole list of members is fetched at most this often. */
const fetchIntervalMs = 5_000;

/** Peer ports, the same on every VM. */
export interface PeerPorts {
  gatewayPeers: number;
  dispatcherPeers: number;
}

/**
 * Finds members after a start and after a partition. Addresses come from the
 * VM list and, as that may be missing, from the members known as dead.
 */
export class ContactFinder {
  private lastFetchAtMs = -Infinity;

  constructor(
    private readonly membership: Membership,
    private readonly members: MemberService,
    private readonly ports: PeerPorts,
  ) {}

  /** Tries some addresses at an interval. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await waitFor(contactIntervalMs * (0.75 + Math.random() / 2), signal);
      if (!signal.aborted) await this.tryOnce();
    }
  }

  /** Tries some addresses; fetches the members that a new contact knows. */
  async tryOnce(): Promise<void> {
    const alone = this.membership.listPresent().length === 1;
    const count = alone ? firstContacts : contactsPerInterval;
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
    if (!alone && nowMs - this.lastFetchAtMs < fetchIntervalMs) return;
    this.lastFetchAtMs = nowMs;
    await this.members.fetchMembers(answered.address);
  }

  /** Addresses without a present member. */
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
    // This process's own address is free of others, also when it has left.
    present.add(this.membership.getSelf().peerAddress);
    return [...candidates].filter(address => !present.has(address));
  }
}

/**
 * Peer address of a member of a role on a VM.
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
