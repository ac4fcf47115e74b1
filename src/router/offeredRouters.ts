/** Decisions that the routers that callers are sent to share among themselves. */
import {sortByWeight} from '../node/rendezvous.js';
import type {TurnPosition} from './serverLimits.js';

/** A router's view of the routers that callers are sent to. */
export interface OfferedRouters {
  /** IP address of this router. */
  readonly host: string;
  /** True if callers are sent to this router. */
  readonly isOffered: boolean;
  /** IP addresses of the other routers that callers are sent to. */
  readonly others: readonly string[];
}

/**
 * Returns the position of this router by address; undefined if callers are sent
 * to others only.
 *
 * @example
 * findPosition({host: '10.0.0.2', isOffered: true, others: ['10.0.0.1']})
 * // {index: 1, count: 2}
 */
export function findPosition({
  host,
  isOffered,
  others,
}: OfferedRouters): TurnPosition | undefined {
  if (!isOffered) return undefined;
  const index = others.filter(other => other < host).length;
  return {index, count: others.length + 1};
}

/**
 * True at some of the routers, the same for all with the same view.
 *
 * @param count - number of such routers
 * @example
 * const offered = {host: '10.0.0.2', isOffered: true, others: []};
 * isAmongChosen('part 7', 1, offered) === true
 */
export function isAmongChosen(
  key: string,
  count: number,
  {host, isOffered, others}: OfferedRouters,
): boolean {
  if (!isOffered) return false;
  const sorted = sortByWeight(key, [host, ...others], other => other);
  return sorted.indexOf(host) < count;
}
