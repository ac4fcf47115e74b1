/** Choice of a backend server by expected cost. */
import type {ServerLoad} from './serverLoad.js';

/** A backend server that may get a request, with its load by all routers. */
export interface Candidate extends ServerLoad {
  readonly serverId: string;
  /** Compact key of the id. */
  readonly key: number;
  /** True when it is in the availability zone of the router. */
  readonly isNear: boolean;
  readonly zone: string;
  readonly slots: number;
}

/** A request to a plain service. */
export interface PlainDemand {
  /** Usual time of one request in milliseconds. */
  readonly workMs: number;
  /** Cost of a failure in milliseconds of waiting. */
  readonly failureCostMs: number;
}

/** A request to model engines. */
export interface PromptDemand {
  readonly promptTokens: number;
  /**
   * Tokens of the leading parts that engines hold or are about to read, by
   * compact key.
   */
  readonly heldTokens: ReadonlyMap<number, number>;
  /** Tokens that can be copied to another engine already, by compact key. */
  readonly copyableTokens: ReadonlyMap<number, number>;
  readonly bodyBytes: number;
  readonly failureCostMs: number;
  /** Prompt tokens that an engine reads in a millisecond. */
  readonly readTokensPerMs: number;
  /** A prompt with fewer unread tokens is short. */
  readonly shortTokens: number;
}

/** Where a prompt goes. */
export interface EngineChoice {
  readonly serverId: string;
  /** Requests that the engine has, and the weight of its streams. */
  readonly requests: number;
  readonly tightStreams: number;
  /** Prompt tokens that the engine has to read. */
  readonly unreadTokens: number;
  /** Too short to make streams beside it late. */
  readonly isShort: boolean;
  /** Expected time until the prompt is read, in milliseconds. */
  readonly readyMs: number;
  /** Part of it for the prompts that are there already. */
  readonly backlogMs: number;
  /** Compact key of the engine whose KV cache is copied first. */
  readonly fetchFrom?: number;
}

/** A prior of one answer keeps a single failure from ruling a server out. */
const priorAnswers = 1.5;
/**
 * Cost of a request to another zone in milliseconds of waiting for each
 * kilobyte of its body, at least the cost of a kilobyte. This cost and those of
 * copies and rereads are operators' prices, on a scale where the loss of an
 * answer that misses a target of 500 ms is 500 ms of waiting.
 */
const farCostMsPerKb = 2.5;
/** Fixed delay of copying KV cache between engines, in milliseconds. */
const fetchDelayMs = 8;
/**
 * Cost of copying KV cache in milliseconds of waiting for each thousand
 * tokens.
 */
const fetchCostMsPerKiloToken = 10;
/**
 * Cost of reading tokens that another engine holds or reads already, in
 * milliseconds of waiting for each thousand tokens. Operators pay about eight
 * times as much for it as for a copy.
 */
const rereadCostMsPerKiloToken = 80;
/** Fewer tokens are read sooner than copied. */
const minFetchTokens = 512;
/**
 * Cost of a prompt's reading for each tight stream that it pauses, as a part of
 * the reading time. Streams at an engine that goes on reading last six times as
 * long and pile up there, so some of them keep long prompts away. Measured beside
 * 1 and 0.25 (docs/measurements.md, trials e1 to e6).
 */
const pauseCostRatio = 0.5;
/** Cost of an engine with all slots taken against an empty one, in milliseconds. */
const occupancyCostMs = 12;
/**
 * Cost of a long prompt at an engine that is set apart for short ones, or the
 * other way round, in milliseconds.
 */
const separationMs = 30;
/** Part of the slots of an engine set apart for short prompts that is used. */
const streamShare = 0.5;
/**
 * Part of a zone's engines that is set apart at least; a burst of short prompts
 * must find slots before routers hear of each other's.
 */
const minApartShare = 0.2;
/** Cost for each request above the slots, in milliseconds. */
const queueCostMs = 40;
/**
 * Cost of a plain server with all slots taken against an empty one, as a part of
 * the usual time of a request; it spreads requests before any must wait.
 */
const occupancyCostRatio = 0.2;
/**
 * Weight of the prompts before a short one. Its estimate may be wrong by the
 * whole of a long prompt, which would cost a short one its target.
 */
const shortPromptBacklogWeight = 2;
/** Random part of a cost in milliseconds, so that routers don't all agree. */
const jitterMs = 4;
/**
 * The same for long prompts, as a part of their reading time: routers place
 * several on one engine before they hear of each other.
 */
const promptJitterRatio = 0.5;

/** Chance that a request fails at a server. */
function estimateFailureRate(candidate: Candidate): number {
  const {failures, answers} = candidate;
  return failures / (failures + answers + priorAnswers);
}

/**
 * Picks the plain server with the lowest expected cost.
 *
 * @param draw - source of random numbers from 0 to 1
 * @example
 * choosePlainServer(candidates, {workMs: 80, failureCostMs: 300}, Math.random)
 */
export function choosePlainServer(
  candidates: readonly Candidate[],
  demand: PlainDemand,
  draw: () => number,
): Candidate | undefined {
  const computeCostMs = (candidate: Candidate) => {
    const {requests, slots} = candidate;
    const slowness = Math.max(1, candidate.slowness);
    const waiting = Math.max(0, requests + 1 - slots);
    const workMs = demand.workMs * slowness;
    return (
      workMs +
      (waiting * workMs) / slots +
      (requests / slots) * demand.workMs * occupancyCostRatio +
      estimateFailureRate(candidate) * demand.failureCostMs +
      (candidate.isNear ? 0 : farCostMsPerKb) +
      draw() * jitterMs
    );
  };
  return pickCheapest(candidates, computeCostMs);
}

/**
 * Picks the engine with the lowest expected cost. Prompt tokens that are still
 * to be read are an engine's load; long prompts keep away from engines that
 * run many streams.
 *
 * @param candidates - in an order that all routers share
 * @param draw - source of random numbers from 0 to 1
 */
export function chooseEngine(
  candidates: readonly Candidate[],
  demand: PromptDemand,
  draw: () => number,
): EngineChoice | undefined {
  const best = findBestHolder(demand.copyableTokens);
  const heldAnywhere = Math.max(0, ...demand.heldTokens.values());
  const choices = new Map<Candidate, EngineChoice>();
  const forShort = setApartForShort(candidates);
  const computeCostMs = (candidate: Candidate) => {
    const {serverId, key} = candidate;
    const held = demand.heldTokens.get(key) ?? 0;
    const canFetch =
      best !== undefined &&
      best.key !== key &&
      best.tokens - held >= minFetchTokens;
    const fetched = canFetch ? best.tokens - held : 0;
    const unreadTokens = Math.max(1, demand.promptTokens - held - fetched);
    const rereadTokens = Math.max(0, heldAnywhere - held - fetched);
    const slowness = Math.max(1, candidate.slowness);
    const msPerToken = slowness / demand.readTokensPerMs;
    const readMs = unreadTokens * msPerToken;
    const isShort = unreadTokens < demand.shortTokens;
    const backlogMs = candidate.promptTokens * msPerToken;
    choices.set(candidate, {
      serverId,
      requests: candidate.requests,
      tightStreams: candidate.tightStreams,
      unreadTokens,
      isShort,
      readyMs: backlogMs + readMs,
      backlogMs,
      fetchFrom: canFetch ? best.key : undefined,
    });
    const queued = Math.max(0, candidate.requests + 1 - candidate.slots);
    return (
      backlogMs * (isShort ? shortPromptBacklogWeight : 1) +
      readMs +
      (candidate.requests / candidate.slots) * occupancyCostMs +
      (isShort ? 0 : candidate.tightStreams * pauseCostRatio * readMs) +
      queued * queueCostMs +
      (isShort === forShort.has(candidate) ? 0 : separationMs) +
      (rereadTokens / 1_000) * rereadCostMsPerKiloToken +
      (canFetch
        ? fetchDelayMs + (fetched / 1_000) * fetchCostMsPerKiloToken
        : 0) +
      (candidate.isNear
        ? 0
        : Math.max(1, demand.bodyBytes / 1_000) * farCostMsPerKb) +
      estimateFailureRate(candidate) * demand.failureCostMs +
      draw() * (jitterMs + (isShort ? 0 : promptJitterRatio * readMs))
    );
  };
  const chosen = pickCheapest(candidates, computeCostMs);
  return chosen && choices.get(chosen);
}

/**
 * Sets engines apart for short prompts, in each zone as many as its streams
 * need, the last ones of the order.
 */
function setApartForShort(candidates: readonly Candidate[]): Set<Candidate> {
  const zones = new Map<string, Candidate[]>();
  for (const candidate of candidates) {
    const zone = zones.get(candidate.zone) ?? [];
    zone.push(candidate);
    zones.set(candidate.zone, zone);
  }
  const forShort = new Set<Candidate>();
  for (const zone of zones.values()) {
    const streams = zone.reduce((sum, {tightStreams}) => sum + tightStreams, 1);
    const needed = Math.max(
      Math.ceil(streams / (zone[0].slots * streamShare)),
      Math.round(zone.length * minApartShare),
    );
    const count = Math.min(needed, Math.max(1, zone.length - 1));
    for (const candidate of zone.slice(-count)) forShort.add(candidate);
  }
  return forShort;
}

function findBestHolder(
  heldTokens: ReadonlyMap<number, number>,
): {key: number; tokens: number} | undefined {
  let best: {key: number; tokens: number} | undefined;
  for (const [key, tokens] of heldTokens) {
    if (!best || tokens > best.tokens) best = {key, tokens};
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
