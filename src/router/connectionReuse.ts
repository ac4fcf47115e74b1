/** Decides which idle connections a request may reuse. */

/**
 * Timeout for opening a connection. A handshake takes a few milliseconds; a
 * server that has lost power never answers it.
 */
export const connectTimeoutMs = 350;
/**
 * A server may silently drop connections that were idle for a few hundred
 * milliseconds. One that was idle for no longer than this is considered live.
 */
export const recentIdleMs = 100;

/** Which idle connection of a server a request takes. */
export enum ReusePolicy {
  /**
   * The connection that was idle longest, however long that is. This reveals
   * whether the server has dropped it.
   */
  LeastRecentlyUsed,
  /** The connection that was used last, however long it was idle. */
  MostRecentlyUsed,
  /** The same, but only if it was idle too briefly to have been dropped. */
  OnlyRecentlyUsed,
}

/**
 * Chooses the policy for a request. A request that may run only once is lost
 * when its connection turns out to be stale, because nothing proves that it
 * hasn't run. A single answer is never risked that way; a stream is, unless its
 * service is known to drop idle connections.
 */
export function chooseReusePolicy(request: {
  readonly isRetryable: boolean;
  readonly isStream: boolean;
  readonly canReuseIdle: boolean;
}): ReusePolicy {
  const {isRetryable, isStream, canReuseIdle} = request;
  if (isRetryable) return ReusePolicy.LeastRecentlyUsed;
  return isStream && canReuseIdle
    ? ReusePolicy.MostRecentlyUsed
    : ReusePolicy.OnlyRecentlyUsed;
}

/**
 * True when the server had dropped the connection before the request arrived.
 * The reset that answers the first packet then comes as fast as a handshake.
 *
 * @param isUnanswered - the connection ended without a byte of an answer
 */
export function isStaleConnection(attempt: {
  readonly isUnanswered: boolean;
  /** Idle time of the connection before the request, in milliseconds. */
  readonly idleMs: number;
  /** Time since the request was sent, in milliseconds. */
  readonly elapsedMs: number;
}): boolean {
  const {isUnanswered, idleMs, elapsedMs} = attempt;
  return isUnanswered && idleMs > recentIdleMs && elapsedMs < connectTimeoutMs;
}
