/** Which state a router has, as its reports tell the others. */
import type {DeploymentStore} from './deploymentStore.js';
import type {StateVersions} from './peerReport.js';
import type {ServerDirectory} from './serverDirectory.js';

/**
 * Describes the deployment and the view of servers of this router.
 *
 * @example
 * describeVersions(deployments, directory).serversAgeMs === -1 // no view yet
 */
export function describeVersions(
  deployments: DeploymentStore,
  directory: ServerDirectory,
): StateVersions {
  const ageMs = directory.measureAgeMs();
  const {position} = directory;
  return {
    deploymentVersion: deployments.version,
    serversEpoch: position.epoch,
    serversRevision: position.revision,
    serversDigest: directory.digest,
    serversAgeMs: Number.isFinite(ageMs) ? Math.round(ageMs) : -1,
  };
}
