/** Connects the speeds of backend servers with the rest of a router. */
import type {FleetTotals} from '../fleetTotals/fleetTotals.js';
import {TotalsTopic} from '../fleetTotals/totalsReport.js';
import type {Log} from '../node/log.js';
import {ServerSpeeds} from '../serverSpeed/serverSpeeds.js';
import {computeCompactKey} from './compactKey.js';
import {formatProcess, type BackendServer} from './deployment.js';
import type {ServerDirectory} from './serverDirectory.js';

const noServers: readonly BackendServer[] = [];

export interface SpeedTrackingOptions {
  /** False for a router that takes all servers of a service as equally fast. */
  readonly isEnabled: boolean;
  readonly directory: ServerDirectory;
  readonly totals: FleetTotals;
  readonly log: Log;
}

/**
 * Builds the speeds of the servers in a directory, and makes this router's
 * samples a part of the totals of the fleet.
 */
export function buildServerSpeeds({
  isEnabled,
  directory,
  totals,
  log,
}: SpeedTrackingOptions): ServerSpeeds<BackendServer> {
  const speeds = new ServerSpeeds<BackendServer>({
    listServers: service =>
      isEnabled ? directory.listUsable(service) : noServers,
    computeKey: server => computeCompactKey(formatProcess(server)),
    listFleet: () => totals.list(TotalsTopic.ServerSpeed),
    log,
  });
  if (isEnabled) {
    totals.register(TotalsTopic.ServerSpeed, () => speeds.listOwn());
  }
  return speeds;
}
