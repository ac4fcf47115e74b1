/** Which kept connections a request may use. */

/**
 * Deadline of a new connection in milliseconds. A handshake takes a few; a
 * server without power never answers.
 */
export const connectDeadlineMs = 350;
/**
 * A server may forget connections that rested for some hundred milliseconds.
 * One that rested no longer than this is as good as new, in milliseconds.
 */
export const freshForMs = 100;

/** How long a kept connection may have rested before it is used again. */
export enum Reuse {
  /**
   * As long as its server keeps it, the one that rested longest first, which
   * shows whether the server still knows it.
   */
  Oldest,
  /** As long as its server keeps it, the one that was used last first. */
  Newest,
  /** So shortly that its server can't have forgotten it. */
  Fresh,
}

/**
 * A request that may run once only is lost when its connection turns out to be
 * dead, because nothing proves that it hasn't run. An order is never risked; a
 * stream is, unless its service is known to forget connections.
 */
export function chooseReuse(request: {
  readonly mayRepeat: boolean;
  readonly isStream: boolean;
  readonly isTrusted: boolean;
}): Reuse {
  const {mayRepeat, isStream, isTrusted} = request;
  if (mayRepeat) return Reuse.Oldest;
  return isStream && isTrusted ? Reuse.Newest : Reuse.Fresh;
}

/**
 * True when a server had forgotten the connection before the request came. The
 * reset that answers its first packet comes as soon as a handshake would.
 *
 * @param isUnanswered - the connection ended without a byte of an answer
 */
export function isForgotten(attempt: {
  readonly isUnanswered: boolean;
  /** Rest of the connection before the request, in milliseconds. */
  readonly restedMs: number;
  /** Time since the request was sent, in milliseconds. */
  readonly elapsedMs: number;
}): boolean {
  const {isUnanswered, restedMs, elapsedMs} = attempt;
  return isUnanswered && restedMs > freshForMs && elapsedMs < connectDeadlineMs;
}
