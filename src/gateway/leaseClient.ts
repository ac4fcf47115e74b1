/** Gets slot leases from the dispatchers that own the backend servers. */
import crypto from 'node:crypto';
import {err, ok, type Result} from 'neverthrow';
import type {DaemonNode} from '../node/daemonNode.js';
import {
  LeaseEventKind,
  type LeaseEvent,
  type Release,
} from '../protocol/leaseMessages.js';
import {Outcome} from '../protocol/outcome.js';
import {Refusal, RefusalReason} from '../protocol/refusal.js';
import {waitFor} from '../node/delay.js';
import {
  matchTarget,
  type Lease,
  type LeaseReport,
  type LeaseSource,
  type LeaseTarget,
} from './lease.js';
import {computeRemainingMs, type RequestContext} from './requestContext.js';

const renewIntervalMs = 500;
const renewDeadlineMs = 1_000;
const releaseDeadlineMs = 1_000;

export type {Lease, LeaseReport, LeaseTarget} from './lease.js';

/** Acquires, renews and releases leases. */
export class LeaseClient implements LeaseSource {
  private readonly held = new Map<string, Lease>();

  constructor(private readonly node: DaemonNode) {}

  /** Renews the held leases until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await waitFor(renewIntervalMs, signal);
      this.renewAll();
    }
  }

  /** Waits for a slot of one of the target's backend servers. */
  async acquire(
    context: RequestContext,
    target: LeaseTarget,
  ): Promise<Result<Lease, Refusal>> {
    const candidates = shuffle(this.listCandidates(target));
    if (candidates.length === 0) return err(buildNoServerRefusal());
    for (const candidate of candidates) {
      const lease = await this.acquireFrom(context, candidate, true);
      if (lease) return ok(lease);
    }
    for (const candidate of candidates) {
      const lease = await this.acquireFrom(context, candidate, false);
      if (lease) return ok(lease);
    }
    return err(buildNoServerRefusal());
  }

  /** Gives a slot back. */
  release(lease: Lease, report: LeaseReport): void {
    this.held.delete(lease.leaseId);
    const owner = this.node.ownership.findOwner(lease.backendServer);
    if (!owner) return;
    const release: Release = {
      leaseId: lease.leaseId,
      backendServer: lease.backendServer,
      heldMs: performance.now() - lease.grantedAtMs,
      ...report,
    };
    void this.node.links.callDispatcher(
      owner.peerAddress,
      releaseDeadlineMs,
      (client, signal) => client.leases.release.mutate(release, {signal}),
    );
  }

  /** Number of requests that hold a slot. */
  countHeld(): number {
    return this.held.size;
  }

  private listCandidates(target: LeaseTarget): string[] {
    const configuration = this.node.config.getConfiguration();
    if (!configuration) return [];
    return Object.entries(configuration.backendServers)
      .filter(([, server]) => matchTarget(server, target))
      .map(([id]) => id);
  }

  private async acquireFrom(
    context: RequestContext,
    backendServer: string,
    immediate: boolean,
  ): Promise<Lease | undefined> {
    const owner = this.node.ownership.findOwner(backendServer);
    const deadlineMs = computeRemainingMs(context);
    if (!owner || deadlineMs === 0) return undefined;
    const leaseId = crypto.randomUUID();
    const client = this.node.links.getDispatcher(owner.peerAddress);
    const event = await new Promise<LeaseEvent | undefined>(resolve => {
      const timer = setTimeout(() => finish(undefined), deadlineMs);
      const finish = (result: LeaseEvent | undefined) => {
        clearTimeout(timer);
        // Before unsubscribe, which calls onComplete at once.
        resolve(result);
        subscription.unsubscribe();
      };
      const subscription = client.leases.acquire.subscribe(
        {
          leaseId,
          requestId: context.requestId,
          gateway: this.node.membership.getSelf().incarnation,
          backendServer,
          className: context.className,
          customer: context.customerId,
          immediate,
          deadlineMs,
          latestStartMs: deadlineMs,
          suspectCount: 0,
          configNumber: this.node.config.getNumberInForce(),
        },
        {
          onData: next => {
            if (next.kind !== LeaseEventKind.Queued) finish(next);
          },
          onError: () => finish(undefined),
          onComplete: () => finish(undefined),
        },
      );
    });
    if (event?.kind !== LeaseEventKind.Granted) return undefined;
    const lease: Lease = {
      leaseId,
      backendServer,
      address: event.address,
      priority: event.priority,
      tokens: 0,
      suspectCount: 0,
      context,
      grantedAtMs: performance.now(),
    };
    this.held.set(leaseId, lease);
    return lease;
  }

  private renewAll(): void {
    const byOwner = new Map<string, Lease[]>();
    for (const lease of this.held.values()) {
      const owner = this.node.ownership.findOwner(lease.backendServer);
      if (!owner) continue;
      const leases = byOwner.get(owner.peerAddress) ?? [];
      leases.push(lease);
      byOwner.set(owner.peerAddress, leases);
    }
    for (const [address, leases] of byOwner) void this.renew(address, leases);
  }

  private async renew(address: string, leases: Lease[]): Promise<void> {
    const result = await this.node.links.callDispatcher(
      address,
      renewDeadlineMs,
      (client, signal) =>
        client.leases.renew.mutate(
          {
            gateway: this.node.membership.getSelf().incarnation,
            leases: leases.map(lease => ({
              leaseId: lease.leaseId,
              backendServer: lease.backendServer,
              requestId: lease.context.requestId,
              className: lease.context.className,
              customer: lease.context.customerId,
              tokens: lease.tokens,
              suspectCount: 0,
            })),
          },
          {signal},
        ),
    );
    if (result.isErr()) return;
    for (const {leaseId, priority} of result.value.priorities) {
      const lease = this.held.get(leaseId);
      if (lease) lease.priority = priority;
    }
  }
}

function buildNoServerRefusal(): Refusal {
  return new Refusal(
    RefusalReason.NoBackendServer,
    Outcome.NotRun,
    'no backend server could take the request',
    {retryAfterMs: 1_000},
  );
}

function shuffle<T>(items: readonly T[]): T[] {
  const result = [...items];
  for (let i = result.length - 1; i > 0; i--) {
    const j = Math.floor(Math.random() * (i + 1));
    [result[i], result[j]] = [result[j], result[i]];
  }
  return result;
}
