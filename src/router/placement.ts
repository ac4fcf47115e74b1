/** Selects a backend server for a request by its expected cost. */
import {
  computePrefillWork,
  estimateCopyMs,
  estimateMissProbability,
  estimatePauseProbability,
  firstEventOverheadMs,
  type KvTransfer,
} from './engineModel.js';
import {reserveEngines} from './engineReservation.js';
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
  /** Lasting speed as a multiple of the mean of the service. */
  readonly speed: number;
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
  /** Mean time for which a stream occupies a slot; 0 before the first sample. */
  readonly slotTimeMs: number;
  readonly kvTransfer: KvTransfer;
  /** Mean prefill rate of the engines in tokens per millisecond. */
  readonly prefillTokensPerMs: number;
  /**
   * A prompt with fewer tokens left to prefill counts as short at an engine of
   * mean speed or more.
   */
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
  /** Lasting speed of the engine as a multiple of the mean. */
  readonly speed: number;
  /** Time to prefill the prompt alone, in milliseconds. */
  readonly promptPrefillMs: number;
  /** Expected time until the prompt is prefilled, in milliseconds. */
  readonly prefillEndMs: number;
  /** Part of `prefillEndMs` that is spent on prompts queued before. */
  readonly backlogMs: number;
  /** Work of the prompts queued before. */
  readonly backlogWork: number;
  /** Expected time until a slot is free, in milliseconds. */
  readonly slotWaitMs: number;
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
/** Cost of each request in excess of the engine's slots. */
const queueCostMs = 40;
/**
 * Cost of a plain server with all slots in use compared with an idle one, as a
 * ratio of the average service time. It spreads requests over the servers
 * before any request has to wait.
 */
const occupancyCostRatio = 0.2;
/**
 * Part of a plain server's difference in speed that counts. With half of the
 * occupancy's ratio, a server that takes twice the mean time is chosen when the
 * others have half of their slots in use.
 */
const plainSpeedCostRatio = occupancyCostRatio / 2;
/** Jitter of a cost, so that routers do not all choose the same server. */
const jitterMs = 4;
/**
 * Additional jitter for long prompts, as a ratio of their prefill time. Without
 * it routers place several of them on one engine before they learn of each
 * other's placements.
 */
const longPromptJitterRatio = 0.5;

/**
 * Computes the cost of the own time of a request at a server. Only a part of what
 * a slow server takes longer counts: with all of it, just the fastest servers
 * would get work until they had long queues, and the time of a slow server isn't
 * worth more to operators than that of a fast one.
 *
 * @param usualMs - time at a server of mean speed
 * @param ratio - part that counts
 */
function computeOwnTimeCostMs(
  usualMs: number,
  speed: number,
  ratio: number,
): number {
  return usualMs * (1 + (1 / speed - 1) * ratio);
}

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
    const {requests, slots, speed} = candidate;
    const slowness = Math.max(1, candidate.slowness);
    const waiting = Math.max(0, requests + 1 - slots);
    const usualMs = request.serviceTimeMs * slowness;
    return (
      computeOwnTimeCostMs(usualMs, speed, plainSpeedCostRatio) +
      (waiting * usualMs) / (slots * speed) +
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
  const reserved = reserveEngines(candidates);
  const maxCachedTokens = Math.max(0, ...request.cachedTokens.values());
  const plans = new Map<Candidate, PrefillPlan>();
  const chosen = pickCheapest(candidates, candidate => {
    const plan = planPrefill(candidate, request, copySource, maxCachedTokens);
    plans.set(candidate, plan);
    const jitterRatio = plan.choice.isShortPrompt ? 0 : longPromptJitterRatio;
    return (
      computeLatenessCostMs(candidate, request, plan) +
      computePoolCostMs(candidate, request, plan, reserved.has(candidate)) +
      computeResourceCostMs(candidate, request, plan) +
      draw() * (jitterMs + jitterRatio * plan.usualPrefillMs)
    );
  });
  return chosen && plans.get(chosen)?.choice;
}

/** How an engine would prefill a prompt. */
interface PrefillPlan {
  readonly choice: EngineChoice;
  /** Time to prefill the prompt alone at an engine of mean speed. */
  readonly usualPrefillMs: number;
  readonly copiedTokens: number;
  readonly copyMs: number;
  /** Tokens to prefill that another engine has cached or is prefilling. */
  readonly recomputedTokens: number;
  /** Time to prefill the whole backlog, less urgent prompts included. */
  readonly totalBacklogMs: number;
  /** Probability that a stream of the shortest pause becomes late by it. */
  readonly pauseProbability: number;
}

/** @param maxCachedTokens - longest prefix that any engine has cached */
function planPrefill(
  candidate: Candidate,
  request: PromptRequest,
  copySource: CopySource | undefined,
  maxCachedTokens: number,
): PrefillPlan {
  const {serverId, key, speed} = candidate;
  const cachedTokens = request.cachedTokens.get(key) ?? 0;
  const canCopy =
    copySource !== undefined &&
    copySource.key !== key &&
    copySource.tokens - cachedTokens >= minKvCopyTokens;
  const copiedTokens = canCopy ? copySource.tokens - cachedTokens : 0;
  const isCopyInZone = copySource?.zone === candidate.zone;
  const copyMs = canCopy
    ? estimateCopyMs(copiedTokens, request.kvTransfer, isCopyInZone)
    : 0;
  const contextTokens = cachedTokens + copiedTokens;
  const unreadTokens = Math.max(1, request.promptTokens - contextTokens);
  const prefillWork = computePrefillWork(unreadTokens, contextTokens);
  const slowness = Math.max(1, candidate.slowness);
  const usualMsPerToken = slowness / request.prefillTokensPerMs;
  const msPerToken = usualMsPerToken / speed;
  const promptPrefillMs = prefillWork * msPerToken;
  // An engine that is reserved for short prompts may look fast because few
  // prompts wait there. That must not draw long prompts to its streams.
  const pauseSpeed = Math.min(1, speed);
  const totalWork = sumBacklog(candidate.backlog);
  const urgentWork = sumBacklog(candidate.backlog, request.rank);
  const backlogWork =
    urgentWork + Math.min(totalWork - urgentWork, request.residualWork);
  const backlogMs = backlogWork * msPerToken;
  const urgentRatio = totalWork > 0 ? urgentWork / totalWork : 0;
  const slotWaitMs = estimateSlotWaitMs(candidate, request, urgentRatio);
  return {
    choice: {
      serverId,
      requests: candidate.requests,
      tightStreams: candidate.tightStreams,
      unreadTokens,
      prefillWork,
      isShortPrompt: unreadTokens < request.shortPromptTokenLimit * pauseSpeed,
      speed,
      promptPrefillMs,
      prefillEndMs: Math.max(backlogMs, copyMs, slotWaitMs) + promptPrefillMs,
      backlogMs,
      backlogWork,
      slotWaitMs,
      fetchFrom: canCopy ? copySource.key : undefined,
    },
    usualPrefillMs: prefillWork * usualMsPerToken,
    copiedTokens,
    copyMs,
    recomputedTokens: Math.max(0, maxCachedTokens - contextTokens),
    totalBacklogMs: totalWork * msPerToken,
    pauseProbability: estimatePauseProbability(
      (prefillWork * usualMsPerToken) / pauseSpeed,
      request.shortestPauseMs,
    ),
  };
}

/**
 * Estimates the time until a slot is free for a prompt.
 *
 * @param urgentRatio - part of the waiting work that comes before the prompt
 */
function estimateSlotWaitMs(
  {requests, slots}: Candidate,
  {slotTimeMs}: PromptRequest,
  urgentRatio: number,
): number {
  if (requests < slots) return 0;
  const before = (requests - slots) * urgentRatio;
  return ((before + 1) * slotTimeMs) / slots;
}

function isPauseSensitive({pauseWeight}: PromptRequest): boolean {
  return pauseWeight > minTightPauseWeight;
}

/** Cost of answers that become late: this one, and streams beside it. */
function computeLatenessCostMs(
  candidate: Candidate,
  request: PromptRequest,
  {choice, totalBacklogMs, pauseProbability}: PrefillPlan,
): number {
  const {waitedMs, targetMs, maxPauseMs = Infinity} = request;
  const firstEventMs = firstEventOverheadMs + choice.prefillEndMs;
  const ownPauseProbability = isPauseSensitive(request)
    ? estimatePauseProbability(totalBacklogMs, maxPauseMs)
    : 0;
  const lateAnswers =
    estimateMissProbability(firstEventMs, waitedMs, targetMs) +
    ownPauseProbability +
    candidate.tightStreams * pauseProbability;
  const latenessMs = Math.max(0, waitedMs + firstEventMs - targetMs);
  return (
    lateAnswers * missCostMs +
    choice.backlogMs * waitCostRatio +
    latenessMs * (1 - waitCostRatio)
  );
}

/** Cost of mixing pause-sensitive streams with long prompts, or crowding them. */
function computePoolCostMs(
  {tightStreams}: Candidate,
  request: PromptRequest,
  {pauseProbability}: PrefillPlan,
  isReserved: boolean,
): number {
  if (!isPauseSensitive(request)) {
    return isReserved ? poolMismatchCostMs * pauseProbability : 0;
  }
  const mismatchCostMs = isReserved ? 0 : poolMismatchCostMs;
  return (
    mismatchCostMs / (1 + tightStreams) + tightStreams * crowdingCostPerStreamMs
  );
}

/** Cost of engine time, links between engines and zones, and failures. */
function computeResourceCostMs(
  candidate: Candidate,
  request: PromptRequest,
  {usualPrefillMs, copiedTokens, copyMs, recomputedTokens}: PrefillPlan,
): number {
  const {requests, slots, isNear, speed} = candidate;
  const queued = Math.max(0, requests + 1 - slots);
  const bodyKb = Math.max(1, request.bodyBytes / 1_000);
  return (
    computeOwnTimeCostMs(usualPrefillMs, speed, waitCostRatio) +
    (requests / slots) * occupancyCostMs +
    queued * queueCostMs +
    (recomputedTokens / 1_000) * recomputeCostMsPerKiloToken +
    copyMs * waitCostRatio +
    (copiedTokens / 1_000) * kvCopyCostMsPerKiloToken +
    (isNear ? 0 : bodyKb * crossZoneCostMsPerKb) +
    estimateFailureRate(candidate) * request.failureCostMs
  );
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
