/** Calls the backend servers that this dispatcher owns. */
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
import {CommandResult, EngineCommander} from './engineCommander.js';
import {WeightBudget} from './weightBudget.js';

const pollIntervalMs = 1_000;
/** An engine that is in its state is read back again after this time. */
const readBackIntervalMs = 10_000;

/** Parts of a member that the service uses. */
export type EngineServiceNode = Pick<
  DaemonNode,
  'config' | 'log' | 'membership' | 'ownership'
> & {settings: {keys: Pick<DaemonNode['settings']['keys'], 'engineOrders'>}};

export interface EngineServiceOptions {
  node: EngineServiceNode;
  engines: EngineClient;
  listOwned: () => BackendServerQueue[];
}

interface CheckState {
  /** The desired state without its number, which most changes leave alone. */
  desired: string;
  dueAtMs: number;
}

/** Polls owned backend servers, each on its own, once a second. */
export class EngineService {
  private readonly commander: EngineCommander;
  private readonly checks = new Map<string, CheckState>();
  private readonly polling = new Set<string>();
  /** Servers that have been polled since they are owned. */
  private readonly known = new Set<string>();

  constructor(private readonly options: EngineServiceOptions) {
    const {node, engines} = options;
    this.commander = new EngineCommander({
      engines,
      budget: new WeightBudget(() => this.computeWeightRate()),
      orderKey: node.settings.keys.engineOrders,
      log: node.log,
    });
    // The grace time of a new owner is shorter than the interval.
    node.ownership.subscribe(() => this.pollAdded());
    node.config.subscribe(() => this.pollAdded());
  }

  /** Polls until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.pollOwned();
      await waitFor(pollIntervalMs, signal);
    }
    this.options.engines.releaseOthers(new Set());
  }

  /** State of the commands to each engine, for the dump. */
  describe(): object {
    return Object.fromEntries(
      [...this.checks.keys()].map(id => [id, this.commander.getResult(id)]),
    );
  }

  private pollOwned(): void {
    const owned = this.options.listOwned();
    this.forgetOthers(new Set(owned.map(({id}) => id)));
    for (const queue of owned) this.startPoll(queue);
    const addresses = owned.map(queue => this.findServer(queue)?.address ?? '');
    this.options.engines.releaseOthers(new Set(addresses));
  }

  /** Polls the servers that were not owned at the last poll. */
  private pollAdded(): void {
    const owned = this.options.listOwned();
    this.forgetOthers(new Set(owned.map(({id}) => id)));
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

  /** A slow server is not polled again before it has answered. */
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
    // An engine that has restarted counts its events from the start again.
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
    const result = await this.commander.check({
      id,
      engine: server,
      configuration,
      configNumber,
    });
    const isDone = result === CommandResult.InState;
    const dueAtMs = isDone ? Date.now() + readBackIntervalMs : 0;
    this.checks.set(id, {desired, dueAtMs});
  }

  private forgetOthers(owned: ReadonlySet<string>): void {
    for (const id of this.known) {
      if (owned.has(id)) continue;
      this.known.delete(id);
      this.checks.delete(id);
      this.commander.forget(id);
    }
  }

  private computeWeightRate(): number {
    const {node} = this.options;
    const rate = node.config.getConfiguration()?.weightStoreLoadsPerSecond ?? 0;
    const dispatchers = node.membership.listPresent(MemberRole.Dispatcher);
    return rate / Math.max(1, dispatchers.length);
  }
}
