/** Which state a router has, as its reports tell the others. */
import type {Evacuations} from '../evacuation/evacuations.js';
import type {DeploymentStore} from './deploymentStore.js';
import type {StateVersions} from './peerReport.js';
import type {ServerDirectory} from './serverDirectory.js';

/** Components that keep published state. */
export interface PublishedStateSources {
  readonly deployments: DeploymentStore;
  readonly directory: ServerDirectory;
  readonly evacuations: Evacuations;
}

/**
 * Describes the published state that this router has.
 *
 * @example
 * describeVersions(sources).serversAgeMs === -1 // no view of the servers yet
 */
export function describeVersions({
  deployments,
  directory,
  evacuations,
}: PublishedStateSources): StateVersions {
  const ageMs = directory.measureAgeMs();
  const {position} = directory;
  return {
    deploymentVersion: deployments.version,
    serversEpoch: position.epoch,
    serversRevision: position.revision,
    serversDigest: directory.digest,
    serversAgeMs: Number.isFinite(ageMs) ? Math.round(ageMs) : -1,
    evacuations: evacuations.buildReport(),
  };
}
