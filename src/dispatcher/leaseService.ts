/** Serves the gateways' calls for the backend servers owned here. */
import {
  BackendServerState,
  type Configuration,
} from '../config/configuration.js';
import type {DaemonNode} from '../node/daemonNode.js';
import {waitFor} from '../node/delay.js';
import {SuspectRegistry} from '../node/suspectRegistry.js';
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
import {MemberState} from '../protocol/memberMessages.js';
import type {DispatcherHandlers} from '../protocol/peerRouter.js';
import {VmState, type VmList} from '../protocol/platformApi.js';
import {BackendServerQueue} from './backendServerQueue.js';
import {CrashReporter} from './crashReporter.js';
import {CustomerBudgets} from './customerBudgets.js';
import {EjectionRegistry} from './ejectionRegistry.js';
import {FleetView} from './fleetView.js';
import {LeaseStats} from './leaseStats.js';
import {CallGapDetector} from './callGapDetector.js';
import type {SharedState} from './sharedState.js';
import {StreamLengths} from './streamLengths.js';

/** Interval at which leases are expired and waits are estimated again. */
const tickIntervalMs = 100;

/** Parts of the node that the service uses. */
export type LeaseServiceNode = Pick<
  DaemonNode,
  | 'broadcaster'
  | 'config'
  | 'log'
  | 'members'
  | 'membership'
  | 'ownership'
  | 'vmListFollower'
>;

/** Grants leases on the backend servers that this dispatcher owns. */
export class LeaseService implements DispatcherHandlers {
  private readonly queues = new Map<string, BackendServerQueue>();
  private readonly shared: SharedState;
  private readonly budgets: CustomerBudgets;
  private readonly pauses = new CallGapDetector();
  private leavingServers = new Set<string>();

  constructor(
    private readonly node: LeaseServiceNode,
    engines: SharedState['engines'],
  ) {
    this.shared = {
      lengths: new StreamLengths(),
      ejections: new EjectionRegistry(node.broadcaster, node.members),
      suspects: new SuspectRegistry(node.broadcaster),
      crashes: new CrashReporter(
        node.membership.getSelf().incarnation,
        node.members,
        node.log,
      ),
      stats: new LeaseStats(),
      engines,
    };
    const fleet = new FleetView(node.membership);
    this.budgets = new CustomerBudgets({
      getConfiguration: () => node.config.getConfiguration(),
      isAllocator: customer => fleet.isAllocator(customer),
      getReachableRatio: () => fleet.getReachableRatio(),
    });
    this.shared.suspects.subscribe(() => this.advanceAll());
    node.config.subscribe(configuration => this.applyConfig(configuration));
    node.ownership.subscribe(() => this.refreshOwnership());
    node.membership.subscribe(() => this.dropDeadGateways());
    node.vmListFollower.subscribe(list => this.applyVmList(list));
  }

  /** Expires leases and customer budgets until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await waitFor(tickIntervalMs, signal);
      this.checkPause();
      for (const queue of this.queues.values()) queue.expireLeases(Date.now());
      this.budgets.expire(Date.now());
    }
  }

  async *acquire(
    acquire: Acquire,
    signal: AbortSignal,
  ): AsyncGenerator<LeaseEvent> {
    this.checkPause();
    const queue = this.queues.get(acquire.backendServer);
    if (queue) {
      yield* queue.acquire(acquire, signal);
      return;
    }
    // An owned server without a queue was removed from the configuration, or is
    // not in this dispatcher's configuration yet.
    const refusal = this.isOwner(acquire.backendServer)
      ? LeaseRefusal.Leaving
      : LeaseRefusal.Moved;
    yield {kind: LeaseEventKind.Refused, refusal};
  }

  async release(release: Release): Promise<void> {
    this.checkPause();
    this.queues.get(release.backendServer)?.release(release);
  }

  async renew(renew: Renew): Promise<RenewAnswer> {
    this.checkPause();
    const moved: string[] = [];
    const priorities: RenewAnswer['priorities'] = [];
    for (const lease of renew.leases) {
      const queue = this.queues.get(lease.backendServer);
      if (!queue || !this.isOwner(lease.backendServer)) {
        moved.push(lease.leaseId);
        continue;
      }
      const priority = queue.renew(renew.gateway, lease);
      if (priority === undefined) continue;
      priorities.push({leaseId: lease.leaseId, priority});
    }
    return {moved, priorities};
  }

  async drawLimit(draw: DrawLimit): Promise<DrawLimitAnswer> {
    return this.budgets.draw(draw);
  }

  /** Lists the queues of the backend servers owned here. */
  listOwned(): BackendServerQueue[] {
    return [...this.queues.values()].filter(({id}) => this.isOwner(id));
  }

  /** State for the operators' dump. */
  describe(): object {
    return {
      owned: this.listOwned().map(queue => queue.describe()),
      streamLengths: this.shared.lengths.describe(),
      suspects: this.shared.suspects.listSuspects(),
      ...this.shared.stats.describe(),
      customerBudgets: this.budgets.describe(),
    };
  }

  private applyConfig(configuration: Configuration): void {
    const {backendServers} = configuration;
    for (const [id, server] of Object.entries(backendServers)) {
      const queue = this.queues.get(id);
      if (queue) {
        // Set first, so that a change of slots grants nothing on a leaving
        // server.
        queue.setLeaving(this.isLeaving(id, configuration));
        queue.update(server, configuration);
        continue;
      }
      const added = new BackendServerQueue(
        id,
        server,
        configuration,
        this.shared,
      );
      added.setLeaving(this.isLeaving(id, configuration));
      added.setOwned(this.isOwner(id));
      this.queues.set(id, added);
    }
    for (const [id, queue] of this.queues) {
      if (Object.hasOwn(backendServers, id)) continue;
      queue.setLeaving(true);
      this.queues.delete(id);
    }
  }

  private applyVmList(list: VmList): void {
    const leaving = list.backendServerVms
      .filter(vm => vm.state === VmState.Leaving)
      .map(vm => vm.backendServer);
    this.leavingServers = new Set(leaving);
    const configuration = this.node.config.getConfiguration();
    if (!configuration) return;
    for (const [id, queue] of this.queues) {
      queue.setLeaving(this.isLeaving(id, configuration));
    }
  }

  private refreshOwnership(): void {
    for (const [id, queue] of this.queues) queue.setOwned(this.isOwner(id));
  }

  private dropDeadGateways(): void {
    const isDead = (incarnation: string) =>
      this.node.membership.find(incarnation)?.state === MemberState.Dead;
    for (const queue of this.queues.values()) queue.dropGateways(isDead);
  }

  private advanceAll(): void {
    for (const queue of this.queues.values()) queue.advance();
  }

  /**
   * Resets all queues after a pause of the process, during which other
   * dispatchers may have granted the same slots.
   */
  private checkPause(): void {
    const pausedMs = this.pauses.detect(Date.now());
    if (pausedMs === 0) return;
    this.node.log.warn('process was paused; leases must be renewed again', {
      pausedMs,
    });
    for (const queue of this.queues.values()) queue.resetAfterPause();
  }

  private isOwner(id: string): boolean {
    return this.node.ownership.isOwner(id);
  }

  private isLeaving(id: string, configuration: Configuration): boolean {
    const state = configuration.backendServers[id]?.state;
    return state === BackendServerState.Leaving || this.leavingServers.has(id);
  }
}
