/**
 * Arithmetic of the limit on the requests to one cold server.
 *
 * Promise: in any second, all routers together send a cold server at most
 * `limit = requestsPerSecond * overrun + slack` requests, without a message for
 * each request and without a common clock.
 *
 * A few routers may send to the server, `senders` of them (m). Each leaves at
 * least `senders / perSecond` seconds between two requests (a token bucket with
 * burst 1), so that it sends at most `1 + perSecond / senders` in a second, and
 * all of them `m + R`. Half of the limit is kept free for a second group of
 * senders, because two sides of a partitioned fleet may choose one each:
 *
 *     m + R <= limit / 2
 */
import type {ColdServerBounds, ColdStart} from './pacedServer.js';

/**
 * Part of half the limit that goes into the number of senders; the rest is
 * their rate. With 20 allowed a second, three routers send seven a second: a
 * cold server can lose one of its senders, and still gets most of the ten
 * requests a second that it bears.
 */
const senderRatio = 0.3;

/** How many routers may send to one cold server, and how much. */
export interface ColdLimit {
  /** Most requests in any second from all routers. */
  readonly limit: number;
  /** Number of routers that may send; 0 if the limit allows no request. */
  readonly senders: number;
  /** Rate of all senders together, in requests a second. */
  readonly perSecond: number;
}

/**
 * Divides the limit between the number of senders and their rate.
 *
 * @example
 * computeColdLimit({durationMs: 3_000, requestsPerSecond: 10}, {overrun: 1.5, slack: 5})
 * // {limit: 20, senders: 3, perSecond: 7}
 */
export function computeColdLimit(
  {requestsPerSecond}: ColdStart,
  {overrun, slack}: ColdServerBounds,
): ColdLimit {
  const limit = requestsPerSecond * overrun + slack;
  const half = limit / 2;
  if (half < 1) return {limit, senders: 0, perSecond: 0};
  const senders = Math.max(1, Math.floor(half * senderRatio));
  return {limit, senders, perSecond: half - senders};
}

/**
 * Returns the time between two requests of one sender, in milliseconds.
 *
 * @param divisor - largest number of senders that the router has known lately
 */
export function computeSendIntervalMs(
  {perSecond}: ColdLimit,
  divisor: number,
): number {
  return perSecond > 0 ? (1_000 * Math.max(1, divisor)) / perSecond : Infinity;
}
