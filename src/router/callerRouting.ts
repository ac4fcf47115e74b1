/** Connects the selection of routers for callers to the parts of a router. */
import {
  CallerAddresses,
  type OfferableRouter,
} from '../callerRouting/callerAddresses.js';
import {DemandMeter} from '../callerRouting/demandMeter.js';
import type {FleetTotals} from '../fleetTotals/fleetTotals.js';
import type {Log} from '../node/log.js';
import type {FleetView, Peer} from './fleetView.js';
import {isServing, RouterStatus, type RouterEndpoints} from './peerReport.js';
import type {RequestIntake} from './requestIntake.js';

export interface CallerRoutingOptions {
  /** IP address of this router. */
  readonly host: string;
  readonly endpoints: RouterEndpoints;
  readonly intake: RequestIntake;
  readonly fleet: FleetView;
  readonly totals: FleetTotals;
  readonly log: Log;
  readonly getStatus: () => RouterStatus;
}

/** Measures the callers' demand, and selects the routers that they use. */
export class CallerRouting {
  readonly meter: DemandMeter;
  readonly addresses: CallerAddresses;

  constructor({
    host,
    endpoints,
    intake,
    fleet,
    totals,
    log,
    getStatus,
  }: CallerRoutingOptions) {
    this.meter = new DemandMeter({
      countBytes: () => intake.traffic.countBytes(),
      measureAcceptWaitMs: () => intake.measureAcceptWaitMs(),
      processorShare: endpoints.processorShare,
    });
    this.addresses = new CallerAddresses({
      zone: endpoints.zone,
      totals,
      log,
      measureDemand: () => this.meter.demand,
      listRouters: () => {
        const own = {host, identity: endpoints, status: getStatus()};
        const others = fleet.listOfferable();
        return (isServing(own.status) ? [...others, own] : others).map(
          toOfferable,
        );
      },
    });
  }
}

/**
 * Converts a router that takes requests to one that may be offered to callers.
 *
 * @example
 * fleet.listReady().map(toOfferable)
 */
export function toOfferable({
  host,
  status,
  identity: {callers, zone, linkMbps, processorShare},
}: Pick<Peer, 'host' | 'status' | 'identity'>): OfferableRouter {
  const isOffered = status === RouterStatus.Ready;
  return {host, callers, zone, linkMbps, processorShare, isOffered};
}
