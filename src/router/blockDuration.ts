/**
 * When requests and prompt parts that crash servers are blocked, and for how long.
 *
 * The users allow three requests with such a suspect after its first crashes, over
 * all lives of the fleet. When all routers have lost their processes, nobody knows
 * those crashes. Until the fleet has been up for a while, a suspect is therefore
 * blocked sooner, and its blocks end for one request at a time. That costs nothing
 * unless servers crash, and then only repeats of what was lost with them.
 */
import {mergeTimes} from './crashTimes.js';
import {isRequestKey} from './requestKey.js';

/** Crashes that a suspect must explain before it is blocked. */
export const minCrashes = 3;
/** The same for requests and parts while the fleet's memory is new. */
const minRequestCrashesWhenNew = 1;
const minPartCrashesWhenNew = 2;
/**
 * Time from the decisive crash to the block, in milliseconds. Within it, the
 * other routers report the answers that have started, also through two relays.
 */
export const settleMs = 500;
/**
 * Duration of the first block of a part, in milliseconds. It doubles with each
 * further crash. Blocks end, because a part may have been accused by coincidence.
 */
const initialPartBlockMs = 10_000;
/** A part with this many crashes stays blocked while requests with it come. */
const maxProbedCrashes = 7;
const maxProbedCrashesWhenNew = 3;
/**
 * Duration of the first block of a request, in milliseconds. It doubles after a
 * probe that crashed a server.
 */
const initialRequestBlockMs = 4_000;
/**
 * Probes of a request that may crash servers before probes become rare. The
 * users allow three more crashes; one is left for two routers that probe at the
 * same moment.
 */
const maxQuickProbes = 2;
/** Time for which a crash accuses a suspect that is not blocked. */
export const suspicionMs = 60_000;
/** A blocked suspect is forgotten when no request had it for this long. */
const blockRetentionMs = 600_000;
/**
 * Age from which the fleet's memory counts as whole, in milliseconds. A suspect
 * that was blocked before it would be forgotten by then.
 */
export const wholeMemoryMs = blockRetentionMs;

/** What is known of a suspect. */
export interface SuspectHistory {
  readonly suspect: number;
  /** Times of the crashes that it explains best, sorted. */
  readonly crashesAtMs: readonly number[];
  readonly probesAtMs: readonly number[];
  /** When a request with it came last. */
  readonly requestedAtMs: number;
  /** True while crashes before the fleet's start may be unknown. */
  readonly isMemoryNew: boolean;
}

/**
 * Returns the number of crashes from which a suspect is blocked.
 *
 * @example
 * getMinCrashes(requestKey, false) // 3
 */
export function getMinCrashes(suspect: number, isMemoryNew: boolean): number {
  if (!isMemoryNew) return minCrashes;
  return isRequestKey(suspect)
    ? minRequestCrashesWhenNew
    : minPartCrashesWhenNew;
}

/** Returns when the block of a suspect begins. */
export function computeBlockStartMs(history: SuspectHistory): number {
  const {suspect, crashesAtMs, isMemoryNew} = history;
  const decisiveAtMs = crashesAtMs[getMinCrashes(suspect, isMemoryNew) - 1];
  // The next repeat of a request may come at once, and may be the last allowed.
  return isMemoryNew && isRequestKey(suspect)
    ? decisiveAtMs
    : decisiveAtMs + settleMs;
}

/** Returns when one request may test the suspect again. */
export function computeBlockEndMs(history: SuspectHistory): number {
  const {suspect, crashesAtMs, probesAtMs, requestedAtMs, isMemoryNew} =
    history;
  const crashes = crashesAtMs.length;
  const lastAtMs = Math.max(crashesAtMs[crashes - 1], ...probesAtMs);
  if (isRequestKey(suspect)) {
    const durationMs = isMemoryNew
      ? computeRequestBlockMsWhenNew(history)
      : computeRequestBlockMs(history);
    return lastAtMs + durationMs;
  }
  const maxProbed = isMemoryNew ? maxProbedCrashesWhenNew : maxProbedCrashes;
  if (crashes >= maxProbed) return requestedAtMs + blockRetentionMs;
  const excess = crashes - getMinCrashes(suspect, isMemoryNew);
  return lastAtMs + initialPartBlockMs * 2 ** excess;
}

/**
 * Returns the duration of a request's block. It grows with each probe that
 * crashed a server; crashes of requests that were already on their way don't
 * count.
 */
function computeRequestBlockMs(history: SuspectHistory): number {
  const failed = countFailedProbes(history);
  return failed < maxQuickProbes
    ? initialRequestBlockMs * 2 ** failed
    : blockRetentionMs;
}

/**
 * The same while the fleet's memory is new: one probe soon after the first crash,
 * and rare ones after it has failed or servers have crashed at three moments.
 */
function computeRequestBlockMsWhenNew(history: SuspectHistory): number {
  const {crashesAtMs, probesAtMs} = history;
  const isGuilty =
    countFailedProbes(history) > 0 ||
    mergeTimes(crashesAtMs).length >= minCrashes;
  if (isGuilty) return blockRetentionMs;
  // The answer of a probe needs time; that of the lost request doesn't come.
  return probesAtMs.length > 0 ? initialRequestBlockMs : settleMs;
}

/**
 * Returns the time after which a blocked suspect is forgotten that no request had
 * meanwhile. While the memory is new, most of them are sound requests that were lost
 * once.
 */
export function getRetentionMs(history: SuspectHistory): number {
  const isGuilty =
    history.crashesAtMs.length >= minCrashes || countFailedProbes(history) > 0;
  return isGuilty ? blockRetentionMs : suspicionMs;
}

function countFailedProbes({crashesAtMs, probesAtMs}: SuspectHistory): number {
  const sorted = [...probesAtMs].sort((a, b) => a - b);
  return sorted.filter((atMs, index) => {
    const nextAtMs = sorted[index + 1] ?? Infinity;
    return crashesAtMs.some(time => time >= atMs && time < nextAtMs);
  }).length;
}
