/** Polls the backend servers that this dispatcher owns. */
import {
  BackendServerKind,
  type BackendServer,
  type Configuration,
} from '../config/configuration.js';
import type {DaemonNode} from '../node/daemonNode.js';
import {waitFor} from '../node/delay.js';
import {MemberRole} from '../protocol/memberMessages.js';
import type {BackendServerQueue} from './backendServerQueue.js';
import {computeDesiredState} from './desiredState.js';
import type {EngineClient} from './engineClient.js';
import {ReconcileResult, EngineReconciler} from './engineReconciler.js';
import {WeightLoadBudget} from './weightLoadBudget.js';

const pollIntervalMs = 1_000;
/** An engine in its desired state is checked again after this time. */
const recheckIntervalMs = 10_000;

/** Parts of the node that the poller uses. */
export type BackendServerPollerNode = Pick<
  DaemonNode,
  'config' | 'log' | 'membership' | 'ownership'
> & {settings: {keys: Pick<DaemonNode['settings']['keys'], 'engineOrders'>}};

export interface BackendServerPollerOptions {
  node: BackendServerPollerNode;
  engines: EngineClient;
  listOwned: () => BackendServerQueue[];
}

interface CheckState {
  /**
   * The desired state as JSON, without the fencing number: most changes of the
   * configuration alter nothing else for an engine.
   */
  desired: string;
  dueAtMs: number;
}

/** Polls each owned backend server once a second, independently of others. */
export class BackendServerPoller {
  private readonly reconciler: EngineReconciler;
  private readonly checks = new Map<string, CheckState>();
  private readonly polling = new Set<string>();
  /** Servers that have been polled since this dispatcher owns them. */
  private readonly known = new Set<string>();

  constructor(private readonly options: BackendServerPollerOptions) {
    const {node, engines} = options;
    this.reconciler = new EngineReconciler({
      engines,
      budget: new WeightLoadBudget(() => this.computeWeightLoadRate()),
      orderKey: node.settings.keys.engineOrders,
      log: node.log,
    });
    // New servers are polled at once, because the poll interval exceeds the
    // grace period, in which grants depend on a load report.
    node.ownership.subscribe(() => this.pollNewlyOwned());
    node.config.subscribe(() => this.pollNewlyOwned());
  }

  /** Polls until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.pollOwned();
      await waitFor(pollIntervalMs, signal);
    }
    this.options.engines.closeOthers(new Set());
  }

  /** Outcome of the last check of each engine, for the operators' dump. */
  describe(): object {
    return Object.fromEntries(
      [...this.checks.keys()].map(id => [id, this.reconciler.getResult(id)]),
    );
  }

  private pollOwned(): void {
    const owned = this.options.listOwned();
    this.forgetUnowned(new Set(owned.map(({id}) => id)));
    for (const queue of owned) this.startPoll(queue);
    const addresses = owned.map(queue => this.findServer(queue)?.address ?? '');
    this.options.engines.closeOthers(new Set(addresses));
  }

  /** Polls the servers that were not owned at the last poll. */
  private pollNewlyOwned(): void {
    const owned = this.options.listOwned();
    this.forgetUnowned(new Set(owned.map(({id}) => id)));
    for (const queue of owned) {
      if (!this.known.has(queue.id)) this.startPoll(queue);
    }
  }

  private findServer({id}: BackendServerQueue): BackendServer | undefined {
    return this.options.node.config.getConfiguration()?.backendServers[id];
  }

  private startPoll(queue: BackendServerQueue): void {
    this.known.add(queue.id);
    const configuration = this.options.node.config.getConfiguration();
    const server = this.findServer(queue);
    if (!configuration || !server) return;
    void this.pollOnce(queue, server, configuration);
  }

  /** Polls a server, unless its previous poll is still in progress. */
  private async pollOnce(
    queue: BackendServerQueue,
    server: BackendServer,
    configuration: Configuration,
  ): Promise<void> {
    if (this.polling.has(queue.id)) return;
    this.polling.add(queue.id);
    const poll = Promise.all([
      this.readLoad(queue, server),
      this.readCacheEvents(queue, server),
      this.checkEngine(queue.id, server, configuration),
    ]);
    await poll.finally(() => this.polling.delete(queue.id));
  }

  private async readLoad(
    queue: BackendServerQueue,
    {address}: BackendServer,
  ): Promise<void> {
    const report = await this.options.engines.readLoad(address);
    if (report.isOk()) queue.applyLoadReport(report.value);
  }

  private async readCacheEvents(
    {prefixes}: BackendServerQueue,
    {kind, address}: BackendServer,
  ): Promise<void> {
    if (kind !== BackendServerKind.ModelEngine) return;
    const after = prefixes.getLastNumber();
    const events = await this.options.engines.readCacheEvents(address, after);
    // The engine may have restarted, and then numbers its events from 1 again.
    if (events.isErr()) prefixes.reset();
    else if (prefixes.getLastNumber() === after) prefixes.apply(events.value);
  }

  private async checkEngine(
    id: string,
    server: BackendServer,
    configuration: Configuration,
  ): Promise<void> {
    if (server.kind !== BackendServerKind.ModelEngine) return;
    const configNumber = this.options.node.config.getNumberInForce();
    const desired = JSON.stringify(
      computeDesiredState(server, configuration, 0),
    );
    const last = this.checks.get(id);
    if (last?.desired === desired && Date.now() < last.dueAtMs) return;
    const result = await this.reconciler.check({
      id,
      engine: server,
      configuration,
      configNumber,
    });
    const isDone = result === ReconcileResult.InState;
    const dueAtMs = isDone ? Date.now() + recheckIntervalMs : 0;
    this.checks.set(id, {desired, dueAtMs});
  }

  private forgetUnowned(owned: ReadonlySet<string>): void {
    for (const id of this.known) {
      if (owned.has(id)) continue;
      this.known.delete(id);
      this.checks.delete(id);
      this.reconciler.forget(id);
    }
  }

  private computeWeightLoadRate(): number {
    const {node} = this.options;
    const rate = node.config.getConfiguration()?.weightStoreLoadsPerSecond ?? 0;
    const dispatchers = node.membership.listPresent(MemberRole.Dispatcher);
    return rate / Math.max(1, dispatchers.length);
  }
}
