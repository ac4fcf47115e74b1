/** Reads the platform's VM list and contacts the VMs that are not known yet. */
import {MemberRole, type Member} from '../protocol/memberMessages.js';
import type {VmList} from '../protocol/platformApi.js';
import {waitFor} from './delay.js';
import type {MemberService} from './memberService.js';
import type {Membership} from './membership.js';
import type {PlatformClient} from './platformClient.js';

const readIntervalMs = 1_000;

export type VmListListener = (list: VmList) => void;

/** Peer ports, the same on every VM. */
export interface PeerPorts {
  gatewayPeers: number;
  dispatcherPeers: number;
}

/** Follows the VM list until stopped. */
export class VmListFollower {
  private readonly listeners = new Set<VmListListener>();

  constructor(
    private readonly platform: PlatformClient,
    private readonly membership: Membership,
    private readonly members: MemberService,
    private readonly ports: PeerPorts,
  ) {}

  /** Calls the listener after each read. */
  subscribe(listener: VmListListener): void {
    this.listeners.add(listener);
  }

  /** Reads the list at an interval. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const list = await this.platform.readVmList(signal);
      if (list.isOk()) {
        this.membership.applyVmList(list.value);
        for (const listener of this.listeners) listener(list.value);
        await this.pingUnknown();
      }
      await waitFor(readIntervalMs * (0.75 + Math.random() / 2), signal);
    }
  }

  private async pingUnknown(): Promise<void> {
    const known = new Set(
      this.membership.listPresent().map((member: Member) => member.peerAddress),
    );
    const addresses = this.membership
      .listVmAddresses()
      .flatMap(address => [
        `${address}:${this.ports.gatewayPeers}`,
        `${address}:${this.ports.dispatcherPeers}`,
      ])
      .filter(address => !known.has(address));
    const results = await Promise.all(
      addresses.map(async address => ({
        address,
        result: await this.members.pingAddress(address),
      })),
    );
    const answered = results.find(({result}) => result.isOk());
    if (answered) await this.members.fetchMembers(answered.address);
  }
}

/** Peer address of a member of a role on a VM. */
export function buildPeerAddress(
  address: string,
  role: MemberRole,
  ports: PeerPorts,
): string {
  switch (role) {
    case MemberRole.Gateway:
      return `${address}:${ports.gatewayPeers}`;
    case MemberRole.Dispatcher:
      return `${address}:${ports.dispatcherPeers}`;
  }
}
