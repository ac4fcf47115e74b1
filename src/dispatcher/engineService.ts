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
  'config' | 'log' | 'membership'
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

  constructor(private readonly options: EngineServiceOptions) {
    const {node, engines} = options;
    this.commander = new EngineCommander({
      engines,
      budget: new WeightBudget(() => this.computeWeightRate()),
      orderKey: node.settings.keys.engineOrders,
      log: node.log,
    });
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
    const configuration = this.options.node.config.getConfiguration();
    if (!configuration) return;
    const owned = this.options.listOwned();
    this.forgetOthers(new Set(owned.map(({id}) => id)));
    const addresses = new Set<string>();
    for (const queue of owned) {
      const server = configuration.backendServers[queue.id];
      if (!server) continue;
      addresses.add(server.address);
      void this.pollOnce(queue, server, configuration);
    }
    this.options.engines.releaseOthers(addresses);
  }

  /** A slow server is not polled again before it has answered. */
  private async pollOnce(
    queue: BackendServerQueue,
    server: BackendServer,
    configuration: Configuration,
  ): Promise<void> {
    if (this.polling.has(queue.id)) return;
    this.polling.add(queue.id);
    await this.checkEngine(queue.id, server, configuration).finally(() =>
      this.polling.delete(queue.id),
    );
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
    for (const id of this.checks.keys()) {
      if (owned.has(id)) continue;
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
