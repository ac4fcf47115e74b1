/** Computes the `Retry-After` time of refused requests. */

/** Typical time until a server has a free slot again. */
const baseDelayMs = 400;
/** Minimum delay as a ratio of `baseDelayMs`; the maximum ratio is 1 higher. */
const minDelayRatio = 0.75;

/**
 * Returns the time after which a refused caller should retry, in milliseconds.
 * Random jitter keeps callers from retrying all at once.
 *
 * @param backoffMs - time until a server accepts requests again; 0 when servers
 *     accept them now
 * @param draw - source of random numbers from 0 to 1
 * @example
 * estimateRetryAfterMs(2_000, () => 0.5) === 2_200
 */
export function estimateRetryAfterMs(
  backoffMs: number,
  draw: () => number,
): number {
  return backoffMs > 0
    ? backoffMs + baseDelayMs * draw()
    : baseDelayMs * (minDelayRatio + draw());
}

/** A router that reaches the platform has a deployment within this time. */
const usualStartMs = 200;
/** Retry delay within that time. */
const usualStartRetryAfterMs = 300;
/** Bounds of the retry delay while the platform does not answer. */
const minOutageRetryAfterMs = 2_000;
const maxOutageRetryAfterMs = 5_000;

/**
 * Returns the time after which a caller should retry at a router that has no
 * deployment yet, in milliseconds. A platform that has not answered within the
 * usual time is likely to stay away for seconds, and for the longer, the longer
 * it has been away. A caller that comes back sooner is refused again.
 *
 * @param elapsedMs - time since the start of the router
 * @param draw - source of random numbers from 0 to 1
 * @example
 * estimateStartRetryAfterMs(50, () => 0.5) === 300
 * estimateStartRetryAfterMs(3_000, () => 0.5) === 3_000
 */
export function estimateStartRetryAfterMs(
  elapsedMs: number,
  draw: () => number,
): number {
  if (elapsedMs < usualStartMs) return usualStartRetryAfterMs;
  const outageMs = Math.min(
    maxOutageRetryAfterMs,
    Math.max(minOutageRetryAfterMs, elapsedMs),
  );
  return outageMs * (minDelayRatio + draw() / 2);
}
