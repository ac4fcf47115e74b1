/** Decides whether a request waits for a backend server with a limit. */

/**
 * Ratio of a route's target that a request may wait until a limited server takes
 * it. The rest of the target is left to the server.
 */
const maxWaitRatio = 0.5;
/** Shortest wait, in milliseconds; another request may take the turn. */
const minWaitMs = 5;

/** Times of a request that finds only servers whose limits are used up. */
export interface LimitWaitTimes {
  /** Time until a server takes it, in milliseconds. */
  readonly waitMs: number;
  /** Time since it arrived, in milliseconds. */
  readonly waitedMs: number;
  /** Target of the time to the answer or the first event, in milliseconds. */
  readonly targetMs: number;
  /** Time in which it can still be sent, in milliseconds. */
  readonly remainingMs: number;
}

/**
 * Returns how long to wait, in milliseconds; undefined if a server takes the
 * request too late for its target. It is then refused at once.
 *
 * @example
 * computeLimitWaitMs({waitMs: 80, waitedMs: 20, targetMs: 300, remainingMs: 900}) === 80
 */
export function computeLimitWaitMs({
  waitMs,
  waitedMs,
  targetMs,
  remainingMs,
}: LimitWaitTimes): number | undefined {
  const latestMs = Math.min(targetMs * maxWaitRatio - waitedMs, remainingMs);
  return waitMs <= latestMs ? Math.max(minWaitMs, waitMs) : undefined;
}
