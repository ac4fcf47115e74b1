/** Selects backend servers by the load and outcomes that routers report. */
import {sortByWeight} from '../node/rendezvous.js';
import type {
  ServerSpeeds,
  ServerSpeedState,
} from '../serverSpeed/serverSpeeds.js';
import type {ServerPace} from '../serverPace/serverPace.js';
import type {SlowStart} from '../serverPace/slowStart.js';
import {computeCompactKey} from './compactKey.js';
import {formatProcess, type BackendServer} from './deployment.js';
import type {DeploymentStore} from './deploymentStore.js';
import {
  firstEventOverheadMs,
  PrefillStatistics,
  type KvTransfer,
} from './engineModel.js';
import type {FleetView} from './fleetView.js';
import type {PromptPart} from './messageCodec.js';
import {
  chooseEngine,
  choosePlainServer,
  type Candidate,
  type EngineChoice,
} from './placement.js';
import {PlacementQueue, type PlacementRow} from './placementQueue.js';
import {addBacklogs, emptyBacklog, sumBacklog} from './prefillBacklog.js';
import {
  computePauseWeight,
  computeShortPromptTokenLimit,
  defaultMaxPauseMs,
  findShortestPauseMs,
} from './promptLength.js';
import type {PrefixCacheDirectory} from './promptDirectory.js';
import type {RouteTable} from './routeTable.js';
import type {
  Selection,
  SelectionRequest,
  ZoneEvacuations,
} from './selection.js';
import type {ServerDirectory} from './serverDirectory.js';
import {computeIntervalMs, type ServerLimits} from './serverLimits.js';
import type {ServerLoadTracker} from './serverLoads.js';
import type {ServerOutcomes} from './serverOutcomes.js';
import {
  buildAnswerSample,
  buildFirstEventSample,
  computeOtherWaitMs,
  type ServedRequest,
} from './speedSamples.js';

/** Weight of a new sample in the moving average of the service time. */
const sampleWeight = 0.05;
/** Assumed service time of a plain service before the first sample. */
const initialServiceTimeMs = 80;

/**
 * Time after which a caller should retry whose service has servers in evacuated
 * zones only, in milliseconds. Evacuations last for minutes, but a server may
 * start in another zone at any time.
 */
const evacuatedRetryMs = 2_000;

export interface ServerSelectorOptions {
  readonly zone: string;
  readonly directory: ServerDirectory;
  readonly loads: ServerLoadTracker;
  readonly outcomes: ServerOutcomes;
  readonly limits: ServerLimits;
  readonly speeds: ServerSpeeds<BackendServer>;
  readonly evacuations: ZoneEvacuations;
  readonly pace: ServerPace;
  readonly slowStart: SlowStart;
  readonly fleet: FleetView;
  readonly prompts: PrefixCacheDirectory;
  readonly deployments: DeploymentStore;
}

/** Selects servers by expected cost, given the load from all routers. */
export class ServerSelector {
  private readonly rankedServers = new WeakMap<
    readonly BackendServer[],
    BackendServer[]
  >();
  private readonly prefillStatistics = new Map<string, PrefillStatistics>();
  private readonly serviceTimesMs = new Map<string, number>();
  private readonly slotTimesMs = new Map<string, number>();
  private readonly newPlacements = new PlacementQueue();

  /** Shortest `maxPauseMs` of the routes to each service. */
  private readonly pauses = new Map<string, number>();
  private readonly kvTransfers = new Map<string, KvTransfer>();

  constructor(private readonly options: ServerSelectorOptions) {
    options.deployments.watch(table => this.recordServices(table));
  }

  /** Selects a server for a request; undefined when none is available. */
  select(request: SelectionRequest): Selection | undefined {
    const servers = this.listCandidates(request);
    if (servers.length === 0) return undefined;
    const speeds = this.options.speeds.getSpeeds(request.service);
    const candidates = servers.map(server =>
      this.buildCandidate(server, speeds.get(server.id) ?? 1),
    );
    return request.promptParts.length > 0
      ? this.selectEngine(request, candidates)
      : this.selectPlain(request, candidates);
  }

  /**
   * Updates the prefill rate of a service and the speed of the engine from the
   * time to the first event.
   */
  recordFirstEvent(
    selection: Selection,
    service: string,
    served: ServedRequest,
  ): void {
    const prefillMs = served.ms - computeOtherWaitMs(selection);
    this.getPrefillStatistics(service).record(selection, prefillMs);
    const sample = buildFirstEventSample(selection, served);
    if (sample) this.options.speeds.record(selection.server, sample);
  }

  /**
   * Updates the mean time for which a stream occupies a slot of an engine.
   *
   * @param ms - time from the first event to the end
   */
  recordSlotTime(service: string, ms: number): void {
    const meanMs = this.slotTimesMs.get(service) ?? ms;
    this.slotTimesMs.set(service, meanMs + (ms - meanMs) * sampleWeight);
  }

  /**
   * Updates the average service time, and the speed of the server, after an
   * answer of a plain service.
   */
  recordServiceTime(
    selection: Selection,
    service: string,
    served: ServedRequest,
  ): void {
    const serviceTimeMs = this.getServiceTimeMs(service);
    const meanMs = served.ms * selection.speed;
    this.serviceTimesMs.set(
      service,
      serviceTimeMs + (meanMs - serviceTimeMs) * sampleWeight,
    );
    const sample = buildAnswerSample(selection, served);
    if (sample) this.options.speeds.record(selection.server, sample);
  }

  /**
   * Records that the selected engine is about to prefill the prompt parts.
   *
   * @returns a function that takes this back when the engine did not answer
   */
  recordPlacement(
    selection: Selection,
    parts: readonly PromptPart[],
  ): () => void {
    const {prompts} = this.options;
    const server = computeCompactKey(selection.server.id);
    const newPartKeys: number[] = [];
    // The last part is unique to the request, so peers do not need it.
    for (const [index, part] of parts.entries()) {
      const partKey = computeCompactKey(part.id);
      const isNew = prompts.record(partKey, server, selection.expectedMs);
      if (isNew) newPartKeys.push(partKey);
      if (index < parts.length - 1) {
        this.newPlacements.add([partKey, server]);
      }
    }
    return () => {
      for (const partKey of newPartKeys) prompts.remove(partKey, server);
    };
  }

  /**
   * Records a placement by another router.
   *
   * @param partKey - compact key of the prompt part
   * @param server - compact key of the engine
   */
  recordPeerPlacement(partKey: number, server: number): void {
    const {prompts, fleet, loads, directory, speeds} = this.options;
    const backend = directory.findByKey(server);
    if (!backend) return;
    const work =
      sumBacklog(fleet.sumLoad(server)?.backlog ?? emptyBacklog) +
      sumBacklog(loads.get(backend.id).backlog);
    const {tokensPerMs} = this.getPrefillStatistics(backend.service);
    const readyInMs = work / (tokensPerMs * speeds.getSpeed(backend));
    prompts.record(partKey, server, readyInMs);
  }

  /** Returns the placements for the next report. */
  drainPlacements(): PlacementRow[] {
    return this.newPlacements.take();
  }

  /**
   * Returns the time until the first server of the service accepts requests
   * again, in milliseconds; 0 unless all its servers are in backoff or in
   * evacuated zones.
   */
  getBackoffMs(service: string): number {
    const {directory, outcomes} = this.options;
    const all = directory.listUsable(service);
    if (all.length === 0) return 0;
    const servers = this.excludeEvacuated(all);
    if (servers.length === 0) return evacuatedRetryMs;
    return Math.min(...servers.map(({id}) => outcomes.getBackoffMs(id)));
  }

  /**
   * True if a server of the service works but has no room: it is in backoff, has
   * just rejected a request, or takes a limited number of requests.
   */
  hasFullServer(service: string): boolean {
    const {directory, outcomes} = this.options;
    return this.excludeEvacuated(directory.listUsable(service)).some(
      server =>
        !outcomes.isUnreachable(server.id) &&
        (outcomes.getBackoffMs(server.id) > 0 ||
          outcomes.isUnwilling(server.id) ||
          this.getPerSecond(server) < Infinity),
    );
  }

  /**
   * Returns the time until this router may send the request to a server that
   * only its limit or pace excludes now, in milliseconds; Infinity if there is
   * none.
   */
  measureLimitWaitMs(request: SelectionRequest): number {
    const {limits, pace} = this.options;
    const waits = this.listEligible(request).map(server =>
      Math.max(
        limits.measureWaitMs(computeLimitKey(server), request),
        pace.measureWaitMs(server),
      ),
    );
    return Math.min(Infinity, ...waits);
  }

  /**
   * Returns the mean time between two requests that a service takes from the
   * whole fleet, in milliseconds; 0 unless all its servers have limits or are
   * cold.
   */
  getLimitIntervalMs(service: string): number {
    const {directory, limits, pace} = this.options;
    if (limits.isEmpty && !pace.hasCold()) return 0;
    const servers = this.excludeEvacuated(directory.listUsable(service));
    if (!pace.hasCold()) {
      return limits.computeIntervalMs(servers.map(computeLimitKey));
    }
    return computeIntervalMs(servers.map(server => this.getPerSecond(server)));
  }

  /** Describes the speeds of the servers that were measured lately. */
  listSpeeds(): ServerSpeedState[] {
    const {directory, speeds} = this.options;
    const services = [...directory.listAll()].map(({service}) => service);
    return [...new Set(services)].flatMap(name => speeds.listStates(name));
  }

  /** Returns the time that the selected engine takes for the prompt alone. */
  estimatePrefillMs({server, prefillWork}: Selection): number {
    return prefillWork / this.getPrefillStatistics(server.service).tokensPerMs;
  }

  /** Mean time for which a stream occupies a slot, in milliseconds. */
  getSlotTimeMs(service: string): number {
    return this.slotTimesMs.get(service) ?? 0;
  }

  /** Average service time of a plain service in milliseconds. */
  getServiceTimeMs(service: string): number {
    return this.serviceTimesMs.get(service) ?? initialServiceTimeMs;
  }

  private listCandidates(request: SelectionRequest): BackendServer[] {
    const {outcomes, limits, pace} = this.options;
    limits.recordRequest(request);
    const eligible = this.listEligible(request);
    const allowed = limits.isEmpty
      ? eligible
      : eligible.filter(
          server =>
            limits.measureWaitMs(computeLimitKey(server), request) === 0,
        );
    const reachable = selectPreferred(
      pace.listOpen(allowed),
      ({id}) => !outcomes.isUnreachable(id),
    );
    const notFailed = selectPreferred(
      reachable,
      ({id}) => !request.failed.has(id),
    );
    const willing = selectPreferred(
      notFailed,
      ({id}) => !outcomes.isUnwilling(id),
    );
    const {slowStart, loads} = this.options;
    return slowStart.listOpen(willing, id => loads.get(id).requests);
  }

  /** Lists the servers that may be sent the request, apart from their limits. */
  private listEligible(request: SelectionRequest): BackendServer[] {
    const {outcomes} = this.options;
    const ranked = this.rankServers(request.service);
    return this.excludeEvacuated(ranked).filter(
      ({id}) => !request.excluded.has(id) && outcomes.getBackoffMs(id) === 0,
    );
  }

  /** Requests a second that a server takes; Infinity if it isn't limited. */
  private getPerSecond(server: BackendServer): number {
    const {limits, pace} = this.options;
    const limit = limits.getPerSecond(computeLimitKey(server));
    return Math.min(limit ?? Infinity, pace.getPerSecond(server));
  }

  private excludeEvacuated(servers: readonly BackendServer[]): BackendServer[] {
    const {evacuations} = this.options;
    return servers.filter(({zone}) => !evacuations.isEvacuated(zone));
  }

  /** Returns the servers of a service in the same order on all routers. */
  private rankServers(service: string): BackendServer[] {
    const servers = this.options.directory.listUsable(service);
    let ranked = this.rankedServers.get(servers);
    if (!ranked) {
      ranked = sortByWeight(service, servers, server => server.id);
      this.rankedServers.set(servers, ranked);
    }
    return ranked;
  }

  private buildCandidate(server: BackendServer, speed: number): Candidate {
    const {loads, outcomes, fleet, zone} = this.options;
    const own = loads.get(server.id);
    const recent = outcomes.get(server.id);
    const key = computeCompactKey(server.id);
    const others = fleet.sumLoad(key);
    return {
      serverId: server.id,
      key,
      isNear: server.zone === zone,
      zone: server.zone,
      slots: server.slots,
      speed,
      requests: own.requests + (others?.requests ?? 0),
      backlog: addBacklogs(own.backlog, others?.backlog ?? emptyBacklog, 1),
      tightStreams: own.tightStreams + (others?.tightStreams ?? 0),
      failures: recent.failures + (others?.failures ?? 0),
      answers: recent.answers + (others?.answers ?? 0),
      slowness: recent.slowness || (others?.slowness ?? 0),
    };
  }

  private selectPlain(
    {service, failureCostMs}: SelectionRequest,
    candidates: Candidate[],
  ): Selection | undefined {
    const serviceTimeMs = this.getServiceTimeMs(service);
    const request = {serviceTimeMs, failureCostMs};
    const chosen = choosePlainServer(candidates, request, Math.random);
    if (!chosen) return undefined;
    const {serverId, requests, tightStreams, speed} = chosen;
    const expectedMs = serviceTimeMs / speed;
    const choice: EngineChoice = {
      serverId,
      requests,
      tightStreams,
      speed,
      unreadTokens: 0,
      prefillWork: 0,
      backlogWork: 0,
      slotWaitMs: 0,
      isShortPrompt: true,
      promptPrefillMs: 0,
      prefillEndMs: expectedMs,
      backlogMs: 0,
    };
    return this.buildSelection(choice, expectedMs, 0);
  }

  private selectEngine(
    request: SelectionRequest,
    candidates: Candidate[],
  ): Selection | undefined {
    const {service, promptParts, promptTokens, bodyBytes, failureCostMs} =
      request;
    const {prompts, directory, evacuations} = this.options;
    const statistics = this.getPrefillStatistics(service);
    const prefillTokensPerMs = statistics.tokensPerMs;
    const shortestPauseMs = this.pauses.get(service) ?? defaultMaxPauseMs;
    const pauseWeight = computePauseWeight(shortestPauseMs, request.maxPauseMs);
    const prefixes = prompts.findCachedPrefixes(promptParts);
    for (const key of prefixes.cachedTokens.keys()) {
      const holder = directory.findByKey(key);
      if (holder && !evacuations.isEvacuated(holder.zone)) continue;
      prefixes.cachedTokens.delete(key);
      prefixes.copyableTokens.delete(key);
    }
    const choice = chooseEngine(
      candidates,
      {
        promptTokens,
        cachedTokens: prefixes.cachedTokens,
        copyableTokens: prefixes.copyableTokens,
        bodyBytes,
        failureCostMs,
        targetMs: request.targetMs,
        waitedMs: request.waitedMs,
        maxPauseMs: request.maxPauseMs,
        shortestPauseMs,
        pauseWeight,
        rank: request.rank,
        residualWork: statistics.residualWork,
        slotTimeMs: this.getSlotTimeMs(service),
        kvTransfer: this.findKvTransfer(service),
        prefillTokensPerMs,
        shortPromptTokenLimit: computeShortPromptTokenLimit(
          prefillTokensPerMs,
          shortestPauseMs,
        ),
      },
      Math.random,
    );
    if (!choice) return undefined;
    return this.buildSelection(
      choice,
      firstEventOverheadMs + choice.prefillEndMs,
      pauseWeight,
    );
  }

  private buildSelection(
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
      prefillWork: choice.prefillWork,
      backlogWork: choice.backlogWork,
      slotWaitMs: choice.slotWaitMs,
      isShortPrompt: choice.isShortPrompt,
      speed: choice.speed,
      promptPrefillMs: choice.promptPrefillMs,
      fetchFrom: source && `${source.host}:${source.port}`,
      expectedMs,
      backlogMs: choice.backlogMs,
      serverRequests: choice.requests,
      tightStreams: choice.tightStreams,
      pauseWeight,
    };
  }

  private recordServices(table: RouteTable): void {
    this.pauses.clear();
    this.kvTransfers.clear();
    for (const {name, engine} of table.deployment.services) {
      if (engine) this.kvTransfers.set(name, engine);
      const pauseMs = findShortestPauseMs(table, name);
      if (pauseMs !== undefined) this.pauses.set(name, pauseMs);
    }
  }

  private getPrefillStatistics(service: string): PrefillStatistics {
    const statistics =
      this.prefillStatistics.get(service) ?? new PrefillStatistics();
    this.prefillStatistics.set(service, statistics);
    return statistics;
  }

  private findKvTransfer(service: string): KvTransfer {
    return this.kvTransfers.get(service) ?? {kvBytesPerToken: 0};
  }
}

/** Returns the key of a server's process in `ServerLimits`. */
export function computeLimitKey(server: BackendServer): number {
  return computeCompactKey(formatProcess(server));
}

/** Returns the preferred servers, or all servers when none is preferred. */
function selectPreferred(
  servers: BackendServer[],
  isPreferred: (server: BackendServer) => boolean,
): BackendServer[] {
  const preferred = servers.filter(isPreferred);
  return preferred.length > 0 ? preferred : servers;
}
