/** Addresses that callers are given. */
import type {FleetView} from './fleetView.js';
import {selectFast, sumLinks} from './vmLinks.js';

/** Addresses in one answer. */
const maxAddresses = 64;
/** Fewer routers of the caller's zone are joined by those of other zones. */
const minNearRouters = 2;
/**
 * Routers with slow links are left out while the others have this part of the
 * bandwidth of all.
 */
const minFastPart = 0.5;

/** The own address as it is offered. */
export interface OwnAddress {
  readonly callers: string;
  readonly zone: string;
  /** Bandwidth of the VM's link in Mbit/s. */
  readonly linkMbps: number;
  readonly isReady: boolean;
}

/**
 * Lists routers for a caller, those of its zone when there are enough. Callers
 * choose among them at random, so that routers with slow links, which would get
 * as many requests as the others, are left out where the others can carry them.
 *
 * @example
 * const own = {callers: '10.0.0.1:80', zone: 'a', linkMbps: 490, isReady: true};
 * listAddresses(own, fleet, 'a')
 */
export function listAddresses(
  own: OwnAddress,
  fleet: FleetView,
  zone: string | undefined,
): string[] {
  const routers = fleet
    .listReady()
    .map(({identity: {callers, zone, linkMbps}}) => ({
      callers,
      zone,
      linkMbps,
    }));
  if (own.isReady) routers.push(own);
  const near = routers.filter(router => router.zone === zone);
  const offered = near.length >= minNearRouters ? near : routers;
  const fast = selectFast(offered);
  const canCarry =
    fast.length >= minNearRouters &&
    sumLinks(fast) >= sumLinks(offered) * minFastPart;
  return (canCarry ? fast : offered)
    .map(router => router.callers)
    .slice(0, maxAddresses);
}
