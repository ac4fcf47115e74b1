/** Renews and releases the leases in use. */
import {waitFor} from '../node/delay.js';
import type {Member} from '../protocol/memberMessages.js';
import type {Release} from '../protocol/leaseMessages.js';
import type {DispatcherCalls} from './dispatcherCalls.js';
import type {Lease, LeaseReport} from './lease.js';
import type {LeaseNode} from './leaseNode.js';

/** Delay before a failed release is retried once. */
const releaseRetryDelayMs = 200;

interface HeldLease {
  lease: Lease;
  /** The dispatcher that granted or last adopted the lease. */
  owner: Member;
  grantedPriority: number;
}

/** Keeps the current owners of the backend servers informed of held leases. */
export class HeldLeases {
  private readonly held = new Map<string, HeldLease>();

  constructor(
    private readonly node: LeaseNode,
    private readonly dispatchers: DispatcherCalls,
  ) {}

  /** Adds a granted lease. */
  add(lease: Lease, owner: Member): void {
    const grantedPriority = lease.priority;
    this.held.set(lease.leaseId, {lease, owner, grantedPriority});
  }

  count(): number {
    return this.held.size;
  }

  /**
   * Releases a slot at its current owner and at the dispatcher that granted or
   * last adopted it.
   */
  release(lease: Lease, report: LeaseReport): void {
    const held = this.held.get(lease.leaseId);
    if (!held) return;
    this.held.delete(lease.leaseId);
    const release: Release = {
      leaseId: lease.leaseId,
      backendServer: lease.backendServer,
      heldMs: performance.now() - lease.grantedAtMs,
      ...report,
    };
    const owner = this.node.ownership.findOwner(lease.backendServer);
    const addresses = new Set([held.owner.peerAddress]);
    if (owner) addresses.add(owner.peerAddress);
    for (const address of addresses) void this.sendRelease(address, release);
  }

  /** Renews all leases with their current owners. */
  renewAll(): void {
    this.renewMatching(() => true);
  }

  /** Renews leases with a new owner at once, so that the owner adopts them. */
  renewMoved(): void {
    this.renewMatching(
      ({owner}, newOwner) => owner.incarnation !== newOwner.incarnation,
    );
  }

  private renewMatching(
    isDue: (held: HeldLease, owner: Member) => boolean,
  ): void {
    const byOwner = new Map<string, {owner: Member; due: HeldLease[]}>();
    for (const held of this.held.values()) {
      const owner = this.node.ownership.findOwner(held.lease.backendServer);
      if (!owner || !isDue(held, owner)) continue;
      const group = byOwner.get(owner.incarnation) ?? {owner, due: []};
      group.due.push(held);
      byOwner.set(owner.incarnation, group);
    }
    for (const {owner, due} of byOwner.values()) void this.renew(owner, due);
  }

  private async renew(owner: Member, due: readonly HeldLease[]): Promise<void> {
    const answer = await this.dispatchers.renew(owner.peerAddress, {
      gateway: this.node.membership.getSelf().incarnation,
      leases: due.map(({lease}) => ({
        leaseId: lease.leaseId,
        backendServer: lease.backendServer,
        requestId: lease.context.requestId,
        className: lease.context.className,
        customer: lease.context.customerId,
        ...(lease.fingerprint ? {fingerprint: lease.fingerprint} : {}),
        tokens: lease.tokens,
        suspectCount: lease.suspectCount,
      })),
    });
    if (answer.isErr()) return;
    const moved = new Set(answer.value.moved);
    for (const held of due) {
      if (!moved.has(held.lease.leaseId)) held.owner = owner;
    }
    for (const {leaseId, priority} of answer.value.priorities) {
      this.updatePriority(leaseId, priority);
    }
  }

  private updatePriority(leaseId: string, priority: number): void {
    const held = this.held.get(leaseId);
    if (!held || held.lease.priority === priority) return;
    const {lease, grantedPriority} = held;
    lease.priority = priority;
    // Engines serve requests with lower priority numbers first.
    lease.demoted = priority > grantedPriority;
    lease.onPriority?.(priority);
  }

  private async sendRelease(address: string, release: Release): Promise<void> {
    const sent = await this.dispatchers.release(address, release);
    if (sent.isOk()) return;
    await waitFor(releaseRetryDelayMs);
    await this.dispatchers.release(address, release);
  }
}
