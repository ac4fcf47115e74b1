/** Describes the backend servers in the state dump of a router. */
import {computeCompactKey} from './compactKey.js';
import type {FleetView} from './fleetView.js';
import type {ServerDirectory} from './serverDirectory.js';
import type {ServerLimits} from './serverLimits.js';
import type {ServerLoadTracker} from './serverLoads.js';
import type {ServerOutcomes} from './serverOutcomes.js';
import {computeLimitKey} from './serverSelector.js';

/** Components that know the servers. */
export interface ServerDumpSources {
  readonly directory: ServerDirectory;
  readonly loads: ServerLoadTracker;
  readonly outcomes: ServerOutcomes;
  readonly fleet: FleetView;
}

/** Describes the view of the servers, and load and outcomes of each. */
export function describeServers({
  directory,
  loads,
  outcomes,
  fleet,
}: ServerDumpSources): object {
  return {
    ...directory.position,
    ageMs: Math.round(directory.measureAgeMs()),
    usable: [...directory.listAll()].map(({id, service, zone}) => ({
      id,
      service,
      zone,
      own: loads.get(id),
      fleet: fleet.sumLoad(computeCompactKey(id)),
      outcomes: outcomes.get(id),
    })),
  };
}

/** Lists the servers that state a limit. */
export function listLimited(
  directory: ServerDirectory,
  limits: ServerLimits,
): object[] {
  return [...directory.listAll()].flatMap(server => {
    const perSecond = limits.getPerSecond(computeLimitKey(server));
    return perSecond === undefined ? [] : [{id: server.id, perSecond}];
  });
}
