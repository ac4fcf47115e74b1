/** Creates the evacuations of a starting router. */
import {Evacuations} from '../evacuation/evacuations.js';
import type {Log} from '../node/log.js';
import type {RouterSettings} from './routerSettings.js';

/**
 * Time for which a starting router waits for the evacuations of other routers, in
 * milliseconds. Those may know of some that a restored store lacks. A greeting is
 * repeated after 500 ms if it was lost.
 */
const peerWaitMs = 600;

/**
 * Creates the evacuations of a router, which waits for those of other routers if
 * it may start beside some that take requests.
 *
 * @example
 * const evacuations = createEvacuations(settings, log);
 */
export function createEvacuations(
  {zones, evacuationBoundMs, isFirstStart, seeds, listen}: RouterSettings,
  log: Log,
): Evacuations {
  const hasPeers = !isFirstStart && seeds.some(seed => seed !== listen.peers);
  const shouldWait = evacuationBoundMs !== undefined && hasPeers;
  return new Evacuations({
    zones,
    peerWaitMs: shouldWait ? peerWaitMs : 0,
    log,
  });
}
