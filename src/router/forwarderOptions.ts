/** Components that the forwarding of requests needs. */
import type {CustomerShares} from '../customerShares/customerShares.js';
import type {InputMeter} from '../input/inputMeter.js';
import type {Log} from '../node/log.js';
import type {ServerPace} from '../serverPace/serverPace.js';
import type {SlowStart} from '../serverPace/slowStart.js';
import type {AnswerNotices} from './answerNotices.js';
import type {BackendConnections} from './backendConnections.js';
import type {CrashQuarantine} from './crashQuarantine.js';
import type {IdleReuseSuspensions} from './forgetfulServices.js';
import type {MessageCodec} from './messageCodec.js';
import type {RetryBudgets} from './retryBudgets.js';
import type {RouterMetrics} from './routerMetrics.js';
import type {ServerDirectory} from './serverDirectory.js';
import type {ServerLimits} from './serverLimits.js';
import type {ServerLoadTracker} from './serverLoads.js';
import type {ServerOutcomes} from './serverOutcomes.js';
import type {ServerSelector} from './serverSelector.js';

export interface RequestForwarderOptions {
  readonly codec: MessageCodec;
  readonly directory: ServerDirectory;
  readonly selector: ServerSelector;
  readonly connections: BackendConnections;
  readonly meter: InputMeter;
  readonly loads: ServerLoadTracker;
  readonly outcomes: ServerOutcomes;
  readonly limits: ServerLimits;
  readonly pace: ServerPace;
  readonly slowStart: SlowStart;
  readonly quarantine: CrashQuarantine;
  readonly answerNotices: AnswerNotices;
  readonly idleReuse: IdleReuseSuspensions;
  readonly metrics: RouterMetrics;
  readonly log: Log;
  readonly budgets: RetryBudgets;
  readonly shares: CustomerShares;
}
