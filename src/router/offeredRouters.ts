/** Decisions that the routers that callers are sent to share among themselves. */
import {sortByWeight} from '../node/rendezvous.js';
import type {FleetView} from './fleetView.js';
import {RouterStatus} from './peerReport.js';
import type {TurnPosition} from './serverLimits.js';

/** Largest part of these routers that restarts at the same time. */
const maxRestartRatio = 1 / 8;

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

/**
 * Lists the other routers that restart in turns with one that callers are sent
 * to. Those that are leaving or have just ended are listed, too: the same error
 * may have reached them first, and the turns of the others must not move up.
 *
 * @example
 * computeRestartDelayMs({host, isOffered, others: listRestarting(fleet)}, 10_000)
 */
export function listRestarting(fleet: Pick<FleetView, 'listKnown'>): string[] {
  return fleet
    .listKnown()
    .filter(({status}) => status !== RouterStatus.Resting)
    .map(({host}) => host);
}

/**
 * Returns how long a router that has to restart waits, in milliseconds, so that
 * an error that occurs at all routers at once doesn't stop all of them at once.
 * Routers that callers aren't sent to don't wait.
 *
 * @param restartMs - time that a restart takes
 * @example
 * const offered = {host: '10.0.0.2', isOffered: true, others: ['10.0.0.1']};
 * computeRestartDelayMs(offered, 10_000) === 10_000
 */
export function computeRestartDelayMs(
  offered: OfferedRouters,
  restartMs: number,
): number {
  const position = findPosition(offered);
  if (!position) return 0;
  const {index, count} = position;
  const atOnce = Math.max(1, Math.floor(count * maxRestartRatio));
  return Math.floor(index / atOnce) * restartMs;
}
