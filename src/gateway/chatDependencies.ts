/** Dependencies shared by all chat sessions of a gateway. */
import type {CrashSuspects} from './crashSuspects.js';
import type {EngineConnections} from './engineConnections.js';
import type {GatewayMetrics} from './gatewayMetrics.js';
import type {HedgePolicy} from './hedgePolicy.js';
import type {LatencyEstimates} from './latencyEstimates.js';
import type {LeaseSource} from './lease.js';
import type {RequestBudget} from '../node/requestBudget.js';

export interface ChatDependencies {
  leases: LeaseSource;
  connections: EngineConnections;
  retries: RequestBudget;
  hedges: HedgePolicy;
  latencies: LatencyEstimates;
  suspects: CrashSuspects;
  metrics: GatewayMetrics;
}
