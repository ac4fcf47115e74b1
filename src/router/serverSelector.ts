/** Chooses backend servers from what the whole fleet knows. */
import {sortByWeight} from '../node/rendezvous.js';
import {computeKey} from './compactKey.js';
import type {BackendServer} from './deployment.js';
import type {DeploymentStore} from './deploymentStore.js';
import type {FleetView} from './fleetView.js';
import type {PromptPart} from './messageCodec.js';
import {
  chooseEngine,
  choosePlainServer,
  type Candidate,
  type EngineChoice,
} from './placement.js';
import {
  computePauseWeight,
  computeShortTokens,
  findShortestPauseMs,
} from './promptLength.js';
import type {PromptDirectory} from './promptDirectory.js';
import type {RouteTable} from './routeTable.js';
import type {ServerDirectory} from './serverDirectory.js';
import type {ServerLoads} from './serverLoads.js';
import type {ServerOutcomes} from './serverOutcomes.js';

/** Prompt tokens that an engine reads in a millisecond, before any sample. */
const firstReadTokensPerMs = 40;
const minReadTokensPerMs = 5;
const maxReadTokensPerMs = 500;
/** Weight of a new sample of the reading rate. */
const sampleWeight = 0.05;
/** Shorter reads are mostly fixed delays and give no sample. */
const minSampleTokens = 1_024;
/** Fixed delay of a first event in milliseconds, left out of samples. */
const firstEventDelayMs = 20;
/** Work of one request at a plain service before any sample. */
const firstWorkMs = 80;

/** A request as the choice sees it. */
export interface SelectionDemand {
  readonly service: string;
  /** Servers that failed this request; used again when there is no other. */
  readonly failed: ReadonlySet<string>;
  /** Servers that won't run this request. */
  readonly excluded: ReadonlySet<string>;
  readonly promptParts: readonly PromptPart[];
  readonly promptTokens: number;
  readonly bodyBytes: number;
  /** Longest pause of its stream that is on time, in milliseconds. */
  readonly maxPauseMs: number | undefined;
  /** Cost of a failure in milliseconds of waiting. */
  readonly failureCostMs: number;
}

/** The chosen backend server and what the choice expects. */
export interface Selection {
  readonly server: BackendServer;
  /** Prompt tokens that the engine has to read; 0 for plain services. */
  readonly unreadTokens: number;
  /** Not long enough to make streams beside it late. */
  readonly isShort: boolean;
  /** `host:port` of the engine to copy KV cache from. */
  readonly fetchFrom?: string;
  /** Expected time to the answer or the first event in milliseconds. */
  readonly expectedMs: number;
  /** Part of it until the engine has read what it has, in milliseconds. */
  readonly backlogMs: number;
  /** Requests of all routers at the server when it was chosen. */
  readonly serverRequests: number;
  /** Weight of streams among them that pauses would make late. */
  readonly tightStreams: number;
  /** Weight that its own stream adds. */
  readonly pauseWeight: number;
}

export interface ServerSelectorOptions {
  readonly zone: string;
  readonly directory: ServerDirectory;
  readonly loads: ServerLoads;
  readonly outcomes: ServerOutcomes;
  readonly fleet: FleetView;
  readonly prompts: PromptDirectory;
  readonly deployments: DeploymentStore;
}

/** Weighs servers by the load that all routers have there. */
export class ServerSelector {
  private readonly orders = new WeakMap<
    readonly BackendServer[],
    BackendServer[]
  >();
  private readonly readRates = new Map<string, number>();
  private readonly workTimes = new Map<string, number>();
  private freshPlacements: Array<[number, number]> = [];

  /** Shortest pause of the streams of each service, in milliseconds. */
  private readonly pauses = new Map<string, number>();

  constructor(private readonly options: ServerSelectorOptions) {
    options.deployments.watch(table => this.recordPauses(table));
  }

  /** Chooses a server for a request; undefined when there is none. */
  select(demand: SelectionDemand): Selection | undefined {
    const servers = this.listCandidates(demand);
    if (servers.length === 0) return undefined;
    const candidates = servers.map(server => this.describe(server));
    return demand.promptParts.length > 0
      ? this.selectEngine(demand, candidates)
      : this.selectPlain(demand, candidates);
  }

  /** An engine has produced the first event of a request. */
  recordFirstEvent(selection: Selection, service: string, ms: number): void {
    const {unreadTokens, backlogMs} = selection;
    if (unreadTokens < minSampleTokens || backlogMs > 0) return;
    const readMs = Math.max(1, ms - firstEventDelayMs);
    const sample = Math.min(
      maxReadTokensPerMs,
      Math.max(minReadTokensPerMs, unreadTokens / readMs),
    );
    const rate = this.getReadRate(service);
    this.readRates.set(service, rate + (sample - rate) * sampleWeight);
  }

  /** A plain service has answered. */
  recordWork(service: string, ms: number): void {
    const workMs = this.getWorkMs(service);
    this.workTimes.set(service, workMs + (ms - workMs) * sampleWeight);
  }

  /** A request goes to its selection, so that its engine reads the prompt. */
  recordPlacement(selection: Selection, parts: readonly PromptPart[]): void {
    const {prompts} = this.options;
    const server = computeKey(selection.server.id);
    // The last part belongs to the request; peers needn't know of it.
    for (const [index, part] of parts.entries()) {
      const partKey = computeKey(part.id);
      prompts.record(partKey, server, selection.expectedMs);
      if (index < parts.length - 1) {
        this.freshPlacements.push([partKey, server]);
      }
    }
  }

  /** Takes a placement of another router. */
  recordPeerPlacement(part: number, server: number): void {
    const {prompts, fleet, loads, directory} = this.options;
    const backend = directory.findByKey(server);
    if (!backend) return;
    const tokens =
      (fleet.sumLoad(server)?.promptTokens ?? 0) +
      loads.get(backend.id).promptTokens;
    const readyInMs = tokens / this.getReadRate(backend.service);
    prompts.record(part, server, readyInMs);
  }

  /** Takes the keys of parts and engines placed since the last call. */
  drainPlacements(): Array<[number, number]> {
    const placements = this.freshPlacements;
    this.freshPlacements = [];
    return placements;
  }

  /**
   * Time until a server of the service wants requests again, when all of them
   * asked for time; 0 otherwise. In milliseconds.
   */
  measureHoldOffMs(service: string): number {
    const {directory, outcomes} = this.options;
    const servers = directory.listUsable(service);
    if (servers.length === 0) return 0;
    return Math.min(...servers.map(({id}) => outcomes.measureHoldOffMs(id)));
  }

  /** Usual time of a request at a plain service in milliseconds. */
  getWorkMs(service: string): number {
    return this.workTimes.get(service) ?? firstWorkMs;
  }

  private listCandidates(demand: SelectionDemand): BackendServer[] {
    const {outcomes} = this.options;
    const servers = this.sort(demand.service);
    const willing = servers.filter(
      ({id}) => !demand.excluded.has(id) && outcomes.measureHoldOffMs(id) === 0,
    );
    const reachable = selectPreferred(
      willing,
      ({id}) => !outcomes.isUnreachable(id),
    );
    const untried = selectPreferred(
      reachable,
      ({id}) => !demand.failed.has(id),
    );
    return selectPreferred(untried, ({id}) => !outcomes.isUnwilling(id));
  }

  /** Orders the servers of a service in the same way at all routers. */
  private sort(service: string): BackendServer[] {
    const servers = this.options.directory.listUsable(service);
    let order = this.orders.get(servers);
    if (!order) {
      order = sortByWeight(service, servers, server => server.id);
      this.orders.set(servers, order);
    }
    return order;
  }

  private describe(server: BackendServer): Candidate {
    const {loads, outcomes, fleet, zone} = this.options;
    const own = loads.get(server.id);
    const recent = outcomes.get(server.id);
    const key = computeKey(server.id);
    const others = fleet.sumLoad(key);
    return {
      serverId: server.id,
      key,
      isNear: server.zone === zone,
      zone: server.zone,
      slots: server.slots,
      requests: own.requests + (others?.requests ?? 0),
      promptTokens: own.promptTokens + (others?.promptTokens ?? 0),
      tightStreams: own.tightStreams + (others?.tightStreams ?? 0),
      failures: recent.failures + (others?.failures ?? 0),
      answers: recent.answers + (others?.answers ?? 0),
      slowness: recent.slowness || (others?.slowness ?? 0),
    };
  }

  private selectPlain(
    {service, failureCostMs}: SelectionDemand,
    candidates: Candidate[],
  ): Selection | undefined {
    const workMs = this.getWorkMs(service);
    const demand = {workMs, failureCostMs};
    const chosen = choosePlainServer(candidates, demand, Math.random);
    return (
      chosen &&
      this.build(
        {
          serverId: chosen.serverId,
          requests: chosen.requests,
          tightStreams: chosen.tightStreams,
          unreadTokens: 0,
          isShort: true,
          readyMs: workMs,
          backlogMs: 0,
        },
        workMs,
        0,
      )
    );
  }

  private selectEngine(
    demand: SelectionDemand,
    candidates: Candidate[],
  ): Selection | undefined {
    const {service, promptParts, promptTokens, bodyBytes, failureCostMs} =
      demand;
    const {prompts, directory} = this.options;
    const readTokensPerMs = this.getReadRate(service);
    const held = prompts.findHolders(promptParts);
    for (const key of held.soon.keys()) {
      if (directory.findByKey(key)) continue;
      held.soon.delete(key);
      held.now.delete(key);
    }
    const choice = chooseEngine(
      candidates,
      {
        promptTokens,
        heldTokens: held.soon,
        copyableTokens: held.now,
        bodyBytes,
        failureCostMs,
        readTokensPerMs,
        shortTokens: computeShortTokens(
          readTokensPerMs,
          this.pauses.get(service),
        ),
      },
      Math.random,
    );
    if (!choice) return undefined;
    return this.build(
      choice,
      firstEventDelayMs + choice.readyMs,
      computePauseWeight(this.pauses.get(service), demand.maxPauseMs),
    );
  }

  private build(
    choice: EngineChoice,
    expectedMs: number,
    pauseWeight: number,
  ): Selection | undefined {
    const {directory} = this.options;
    const server = directory.findUsable(choice.serverId);
    if (!server) return undefined;
    const source =
      choice.fetchFrom === undefined
        ? undefined
        : directory.findByKey(choice.fetchFrom);
    return {
      server,
      unreadTokens: choice.unreadTokens,
      isShort: choice.isShort,
      fetchFrom: source && `${source.host}:${source.port}`,
      expectedMs,
      backlogMs: choice.backlogMs,
      serverRequests: choice.requests,
      tightStreams: choice.tightStreams,
      pauseWeight,
    };
  }

  private recordPauses(table: RouteTable): void {
    this.pauses.clear();
    for (const {name} of table.deployment.services) {
      const pauseMs = findShortestPauseMs(table, name);
      if (pauseMs !== undefined) this.pauses.set(name, pauseMs);
    }
  }

  private getReadRate(service: string): number {
    return this.readRates.get(service) ?? firstReadTokensPerMs;
  }
}

/** Servers with a property, or all when none has it. */
function selectPreferred(
  servers: BackendServer[],
  isPreferred: (server: BackendServer) => boolean,
): BackendServer[] {
  const preferred = servers.filter(isPreferred);
  return preferred.length > 0 ? preferred : servers;
}
