/** Selects a backend server for a request by its expected cost. */
import {
  computePrefillWork,
  estimateCopyMs,
  estimateMissProbability,
  estimatePauseProbability,
  firstEventOverheadMs,
  type KvTransfer,
} from './engineModel.js';
import {sumBacklog} from './prefillBacklog.js';
import type {ServerLoad} from './serverLoad.js';

/** A backend server that may take a request, with its load from all routers. */
export interface Candidate extends ServerLoad {
  readonly serverId: string;
  /** Compact key of the id. */
  readonly key: number;
  /** True when the server is in this router's availability zone. */
  readonly isNear: boolean;
  readonly zone: string;
  readonly slots: number;
}

/** A request to a plain service. */
export interface PlainRequest {
  /** Average service time of one request in milliseconds. */
  readonly serviceTimeMs: number;
  /** Cost of a failure, expressed as milliseconds of waiting. */
  readonly failureCostMs: number;
}

/** A request to model engines. */
export interface PromptRequest {
  readonly promptTokens: number;
  /**
   * Prompt tokens whose KV cache an engine holds or is about to compute, by
   * compact key of the engine.
   */
  readonly cachedTokens: ReadonlyMap<number, number>;
  /**
   * Prompt tokens whose KV cache can already be copied from an engine, by
   * compact key of the engine.
   */
  readonly copyableTokens: ReadonlyMap<number, number>;
  readonly bodyBytes: number;
  readonly failureCostMs: number;
  /** Target of the time to the first event, in milliseconds. */
  readonly targetMs: number;
  /** Time since the request arrived, in milliseconds. */
  readonly waitedMs: number;
  /** Longest pause that the request's stream tolerates; undefined for none. */
  readonly maxPauseMs?: number;
  /** Shortest pause that any stream of the service tolerates. */
  readonly shortestPauseMs: number;
  /** Sensitivity of the request's stream to pauses, from 0 to 1. */
  readonly pauseWeight: number;
  /** Urgency rank at the engine, from 0, the most urgent, to 9. */
  readonly rank: number;
  /** Mean work that is left of a prompt that an engine is prefilling. */
  readonly residualWork: number;
  readonly kvTransfer: KvTransfer;
  /** Prefill rate of an engine in tokens per millisecond. */
  readonly prefillTokensPerMs: number;
  /** A prompt with fewer tokens left to prefill counts as short. */
  readonly shortPromptTokenLimit: number;
}

/** The engine selected for a prompt, and the load that the choice assumed. */
export interface EngineChoice {
  readonly serverId: string;
  /** Requests in flight at the engine. */
  readonly requests: number;
  /** Sum of the pause weights of the engine's streams. */
  readonly tightStreams: number;
  /** Prompt tokens that the engine has to prefill. */
  readonly unreadTokens: number;
  /** Work of prefilling them; see `computePrefillWork`. */
  readonly prefillWork: number;
  /** True when prefilling the prompt does not delay concurrent streams. */
  readonly isShortPrompt: boolean;
  /** Expected time until the prompt is prefilled, in milliseconds. */
  readonly prefillEndMs: number;
  /** Part of `prefillEndMs` that is spent on prompts queued before. */
  readonly backlogMs: number;
  /** Work of the prompts queued before. */
  readonly backlogWork: number;
  /** Compact key of the engine from which KV cache is copied before prefill. */
  readonly fetchFrom?: number;
}

/**
 * Answers added to the observed ones when estimating the failure rate, so that
 * a single failure does not rule out a server.
 */
const priorAnswerCount = 1.5;
/**
 * Cost of sending a request to another zone, in milliseconds of waiting per
 * kilobyte of its body; a smaller body costs as much as one kilobyte. The costs
 * of cross-zone traffic, of KV cache copies and of repeated prefill are
 * operators' prices, on a scale where an answer that misses a target of 500 ms
 * costs 500 ms of waiting.
 */
const crossZoneCostMsPerKb = 2.5;
/** Cost of copying KV cache, in milliseconds of waiting per thousand tokens. */
const kvCopyCostMsPerKiloToken = 10;
/**
 * Cost of prefilling tokens that another engine has cached or is prefilling, in
 * milliseconds of waiting per thousand tokens. Operators pay about eight times
 * as much for it as for a copy.
 */
const recomputeCostMsPerKiloToken = 80;
/** Fewer tokens are prefilled faster than copied. */
const minKvCopyTokens = 512;
/**
 * Cost of an answer that misses its target, in milliseconds of waiting. The
 * other costs are on the same scale.
 */
const missCostMs = 500;
/**
 * Cost of a millisecond of waiting that does not make the answer late. It makes
 * the backlogs of engines even. A millisecond beyond the target costs 1.
 */
const waitCostRatio = 0.25;
/** Cost of an engine with all slots in use compared with an idle one. */
const occupancyCostMs = 12;
/**
 * Cost of placing a pause-sensitive stream on an engine that is not reserved
 * for such streams, or on a reserved one a prompt that would pause them.
 */
const poolMismatchCostMs = 150;
/**
 * Cost of each pause-sensitive stream that is already at the engine. More
 * streams bring more short prompts, and several prefills in a row cause a pause.
 */
const crowdingCostPerStreamMs = 8;
/** Streams with a higher pause weight are placed on reserved engines. */
const minTightPauseWeight = 0.5;
/**
 * Slots of a reserved engine that are planned for pause-sensitive streams, as a
 * ratio of all its slots.
 */
const reservedSlotRatio = 0.5;
/**
 * Minimum ratio of the engines that is reserved. A burst of pause-sensitive
 * streams has to find free slots before routers learn of each other's
 * placements.
 */
const minReservedRatio = 0.2;
/** A zone with fewer engines shares the reserved engines of the fleet. */
const minZoneEngines = 3;
/** Cost of each request in excess of the engine's slots. */
const queueCostMs = 40;
/**
 * Cost of a plain server with all slots in use compared with an idle one, as a
 * ratio of the average service time. It spreads requests over the servers
 * before any request has to wait.
 */
const occupancyCostRatio = 0.2;
/** Jitter of a cost, so that routers do not all choose the same server. */
const jitterMs = 4;
/**
 * Additional jitter for long prompts, as a ratio of their prefill time. Without
 * it routers place several of them on one engine before they learn of each
 * other's placements.
 */
const longPromptJitterRatio = 0.5;

/** Estimates the probability that a request fails at a server. */
function estimateFailureRate(candidate: Candidate): number {
  const {failures, answers} = candidate;
  return failures / (failures + answers + priorAnswerCount);
}

/**
 * Selects the plain server with the lowest expected cost.
 *
 * @param draw - source of random numbers from 0 to 1
 * @example
 * const request = {serviceTimeMs: 80, failureCostMs: 300};
 * choosePlainServer(candidates, request, Math.random)
 */
export function choosePlainServer(
  candidates: readonly Candidate[],
  request: PlainRequest,
  draw: () => number,
): Candidate | undefined {
  const computeCostMs = (candidate: Candidate) => {
    const {requests, slots} = candidate;
    const slowness = Math.max(1, candidate.slowness);
    const waiting = Math.max(0, requests + 1 - slots);
    const serviceTimeMs = request.serviceTimeMs * slowness;
    return (
      serviceTimeMs +
      (waiting * serviceTimeMs) / slots +
      (requests / slots) * request.serviceTimeMs * occupancyCostRatio +
      estimateFailureRate(candidate) * request.failureCostMs +
      (candidate.isNear ? 0 : crossZoneCostMsPerKb) +
      draw() * jitterMs
    );
  };
  return pickCheapest(candidates, computeCostMs);
}

/**
 * Selects the engine with the lowest expected cost: the chance that the answer
 * or a stream beside it becomes late, engine time, and the operators' prices.
 *
 * @param candidates - in the same order on all routers, which makes them
 *     reserve the same engines for pause-sensitive streams
 * @param draw - source of random numbers from 0 to 1
 */
export function chooseEngine(
  candidates: readonly Candidate[],
  request: PromptRequest,
  draw: () => number,
): EngineChoice | undefined {
  const copySource = findCopySource(request.copyableTokens, candidates);
  const maxCachedTokens = Math.max(0, ...request.cachedTokens.values());
  const choices = new Map<Candidate, EngineChoice>();
  const reserved = reserveEngines(candidates);
  const isTight = request.pauseWeight > minTightPauseWeight;
  const computeCostMs = (candidate: Candidate) => {
    const {serverId, key} = candidate;
    const cachedTokens = request.cachedTokens.get(key) ?? 0;
    const canCopy =
      copySource !== undefined &&
      copySource.key !== key &&
      copySource.tokens - cachedTokens >= minKvCopyTokens;
    const copiedTokens = canCopy ? copySource.tokens - cachedTokens : 0;
    const copyMs = canCopy
      ? estimateCopyMs(
          copiedTokens,
          request.kvTransfer,
          copySource.zone === candidate.zone,
        )
      : 0;
    const contextTokens = cachedTokens + copiedTokens;
    const unreadTokens = Math.max(1, request.promptTokens - contextTokens);
    const prefillWork = computePrefillWork(unreadTokens, contextTokens);
    const recomputedTokens = Math.max(0, maxCachedTokens - contextTokens);
    const slowness = Math.max(1, candidate.slowness);
    const msPerToken = slowness / request.prefillTokensPerMs;
    const promptPrefillMs = prefillWork * msPerToken;
    const isShortPrompt = unreadTokens < request.shortPromptTokenLimit;
    const totalWork = sumBacklog(candidate.backlog);
    const urgentWork = sumBacklog(candidate.backlog, request.rank);
    const backlogWork =
      urgentWork + Math.min(totalWork - urgentWork, request.residualWork);
    const backlogMs = backlogWork * msPerToken;
    const prefillEndMs = Math.max(backlogMs, copyMs) + promptPrefillMs;
    choices.set(candidate, {
      serverId,
      requests: candidate.requests,
      tightStreams: candidate.tightStreams,
      unreadTokens,
      prefillWork,
      isShortPrompt,
      prefillEndMs,
      backlogMs,
      backlogWork,
      fetchFrom: canCopy ? copySource.key : undefined,
    });
    const firstEventMs = firstEventOverheadMs + prefillEndMs;
    const missProbability = estimateMissProbability(
      firstEventMs,
      request.waitedMs,
      request.targetMs,
    );
    const latenessMs = Math.max(
      0,
      request.waitedMs + firstEventMs - request.targetMs,
    );
    const pauseProbability = estimatePauseProbability(
      promptPrefillMs,
      request.shortestPauseMs,
    );
    const mismatchCostMs =
      poolMismatchCostMs *
      (isTight
        ? Number(!reserved.has(candidate)) / (1 + candidate.tightStreams)
        : Number(reserved.has(candidate)) * pauseProbability);
    const ownPauseProbability = isTight
      ? estimatePauseProbability(
          totalWork * msPerToken,
          request.maxPauseMs ?? Infinity,
        )
      : 0;
    const crowdingCostMs = isTight
      ? candidate.tightStreams * crowdingCostPerStreamMs
      : 0;
    const queued = Math.max(0, candidate.requests + 1 - candidate.slots);
    return (
      (missProbability +
        ownPauseProbability +
        candidate.tightStreams * pauseProbability) *
        missCostMs +
      backlogMs * waitCostRatio +
      latenessMs * (1 - waitCostRatio) +
      promptPrefillMs +
      (candidate.requests / candidate.slots) * occupancyCostMs +
      queued * queueCostMs +
      mismatchCostMs +
      crowdingCostMs +
      (recomputedTokens / 1_000) * recomputeCostMsPerKiloToken +
      copyMs * waitCostRatio +
      (copiedTokens / 1_000) * kvCopyCostMsPerKiloToken +
      (candidate.isNear
        ? 0
        : Math.max(1, request.bodyBytes / 1_000) * crossZoneCostMsPerKb) +
      estimateFailureRate(candidate) * request.failureCostMs +
      draw() *
        (jitterMs +
          (isShortPrompt ? 0 : longPromptJitterRatio * promptPrefillMs))
    );
  };
  const chosen = pickCheapest(candidates, computeCostMs);
  return chosen && choices.get(chosen);
}

/**
 * Reserves engines for pause-sensitive streams: the last ones of the shared
 * order in each zone, as many as the streams need. A zone with few engines does
 * not get its own, so that most engines stay free for long prompts.
 */
function reserveEngines(candidates: readonly Candidate[]): Set<Candidate> {
  const zones = new Map<string, Candidate[]>();
  for (const candidate of candidates) {
    const zone = zones.get(candidate.zone) ?? [];
    zone.push(candidate);
    zones.set(candidate.zone, zone);
  }
  const reserved = new Set<Candidate>();
  for (const zone of zones.values()) {
    if (zone.length < minZoneEngines) continue;
    for (const candidate of zone.slice(-countReserved(zone))) {
      reserved.add(candidate);
    }
  }
  const wanted = candidates.length > 0 ? countReserved(candidates) : 0;
  for (const candidate of [...candidates].reverse()) {
    if (reserved.size >= wanted) break;
    reserved.add(candidate);
  }
  return reserved;
}

/** Number of engines to reserve of a group, at least 1. */
function countReserved(engines: readonly Candidate[]): number {
  const streams = engines.reduce((sum, item) => sum + item.tightStreams, 1);
  const needed = Math.max(
    Math.ceil(streams / (engines[0].slots * reservedSlotRatio)),
    Math.round(engines.length * minReservedRatio),
  );
  return Math.min(needed, Math.max(1, engines.length - 1));
}

interface CopySource {
  readonly key: number;
  readonly tokens: number;
  readonly zone: string;
}

/**
 * Finds the engine with the longest cached prefix. An engine that is not a
 * candidate is down or failing, and a copy from it would not end in time.
 */
function findCopySource(
  tokensByEngine: ReadonlyMap<number, number>,
  candidates: readonly Candidate[],
): CopySource | undefined {
  let best: CopySource | undefined;
  for (const {key, zone} of candidates) {
    const tokens = tokensByEngine.get(key);
    if (tokens === undefined || tokens <= (best?.tokens ?? 0)) continue;
    best = {key, tokens, zone};
  }
  return best;
}

function pickCheapest(
  candidates: readonly Candidate[],
  computeCostMs: (candidate: Candidate) => number,
): Candidate | undefined {
  let best: Candidate | undefined;
  let bestCostMs = Infinity;
  for (const candidate of candidates) {
    const costMs = computeCostMs(candidate);
    if (costMs >= bestCostMs) continue;
    best = candidate;
    bestCostMs = costMs;
  }
  return best;
}
