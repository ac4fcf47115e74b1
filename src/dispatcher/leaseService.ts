/** Answers the gateways' calls about the backend servers owned here. */
import {
  BackendServerState,
  type Configuration,
} from '../config/configuration.js';
import type {DaemonNode} from '../node/daemonNode.js';
import {
  LeaseEventKind,
  LeaseRefusal,
  type Acquire,
  type DrawLimit,
  type DrawLimitAnswer,
  type LeaseEvent,
  type Release,
  type Renew,
  type RenewAnswer,
} from '../protocol/leaseMessages.js';
import type {DispatcherHandlers} from '../protocol/peerRouter.js';
import {VmState, type VmList} from '../protocol/platformApi.js';
import {BackendServerQueue} from './backendServerQueue.js';
import {waitFor} from '../node/delay.js';

const expireIntervalMs = 100;

/** Grants leases on the backend servers that this dispatcher owns. */
export class LeaseService implements DispatcherHandlers {
  private readonly queues = new Map<string, BackendServerQueue>();
  private leavingServers = new Set<string>();

  constructor(private readonly node: DaemonNode) {
    node.config.subscribe(configuration => this.applyConfig(configuration));
    node.ownership.subscribe(() => this.refuseMoved());
    node.vmListFollower.subscribe(list => this.applyVmList(list));
  }

  /** Drops leases of gateways that are gone, until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await waitFor(expireIntervalMs, signal);
      for (const queue of this.queues.values()) queue.expireLeases(Date.now());
    }
  }

  async *acquire(
    acquire: Acquire,
    signal: AbortSignal,
  ): AsyncGenerator<LeaseEvent> {
    const queue = this.queues.get(acquire.backendServer);
    if (!this.isOwner(acquire.backendServer)) {
      yield {kind: LeaseEventKind.Refused, refusal: LeaseRefusal.Moved};
      return;
    }
    if (!queue || this.isLeaving(acquire.backendServer)) {
      yield {kind: LeaseEventKind.Refused, refusal: LeaseRefusal.Leaving};
      return;
    }
    yield* queue.acquire(acquire, signal);
  }

  async release(release: Release): Promise<void> {
    this.queues.get(release.backendServer)?.release(release);
  }

  async renew(renew: Renew): Promise<RenewAnswer> {
    const moved: string[] = [];
    for (const lease of renew.leases) {
      const queue = this.queues.get(lease.backendServer);
      if (!queue || !this.isOwner(lease.backendServer)) {
        moved.push(lease.leaseId);
        continue;
      }
      queue.renew(renew.gateway, lease);
    }
    return {moved, priorities: []};
  }

  async drawLimit(draw: DrawLimit): Promise<DrawLimitAnswer> {
    const {requests, tokens} = draw;
    return {requests, tokens, retryAfterMs: 0};
  }

  /** State for the dump. */
  describe(): object {
    return {
      owned: [...this.queues.values()]
        .filter(queue => this.isOwner(queue.id))
        .map(queue => queue.describe()),
    };
  }

  private applyConfig(configuration: Configuration): void {
    const {backendServers} = configuration;
    for (const [id, server] of Object.entries(backendServers)) {
      const queue = this.queues.get(id);
      if (queue) queue.update(server, configuration);
      else {
        this.queues.set(id, new BackendServerQueue(id, server, configuration));
      }
    }
    for (const [id, queue] of this.queues) {
      if (Object.hasOwn(backendServers, id)) continue;
      queue.refuseWaiting(LeaseRefusal.Leaving);
      this.queues.delete(id);
    }
  }

  private applyVmList(list: VmList): void {
    const leaving = list.backendServerVms
      .filter(vm => vm.state === VmState.Leaving)
      .map(vm => vm.backendServer);
    this.leavingServers = new Set(leaving);
    for (const id of leaving) {
      this.queues.get(id)?.refuseWaiting(LeaseRefusal.Leaving);
    }
  }

  private refuseMoved(): void {
    for (const [id, queue] of this.queues) {
      if (!this.isOwner(id)) queue.refuseWaiting(LeaseRefusal.Moved);
    }
  }

  private isOwner(id: string): boolean {
    return this.node.ownership.isOwner(id);
  }

  private isLeaving(id: string): boolean {
    const configuration = this.node.config.getConfiguration();
    const state = configuration?.backendServers[id]?.state;
    return state === BackendServerState.Leaving || this.leavingServers.has(id);
  }
}
