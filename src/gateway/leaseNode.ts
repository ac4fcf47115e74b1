/** Interface between lease clients and the process that they run in. */
import type {ConfigStore} from '../node/configStore.js';
import type {Membership} from '../node/membership.js';
import type {BackendServerOwnership} from '../node/ownership.js';
import type {PauseDetector} from '../node/pauseDetector.js';

/** The parts of a member of the fleet that lease clients use. */
export interface LeaseNode {
  readonly config: Pick<ConfigStore, 'getConfiguration' | 'getNumberInForce'>;
  readonly ownership: Pick<BackendServerOwnership, 'findOwner' | 'subscribe'>;
  readonly pauseDetector: Pick<PauseDetector, 'subscribe'>;
  readonly membership: Pick<Membership, 'getSelf'>;
}
