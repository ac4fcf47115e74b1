/** Gauges of a router's state, evaluated at each scrape. */
import type {Evacuations} from '../evacuation/evacuations.js';
import type {CallerAddresses} from '../callerRouting/callerAddresses.js';
import type {CustomerShares} from '../customerShares/customerShares.js';
import {WaitCause} from '../customerShares/usageLedger.js';
import type {InputMeter} from '../input/inputMeter.js';
import type {LogSinkCounts} from '../node/logSink.js';
import type {DeploymentStore} from './deploymentStore.js';
import type {FleetView} from './fleetView.js';
import type {PeerExchange} from './peerExchange.js';
import type {PublishedStateCalls} from './publishedState.js';
import type {RequestIntake} from './requestIntake.js';
import type {RetryBudgets} from './retryBudgets.js';
import type {RouterMetrics} from './routerMetrics.js';
import type {ServerDirectory} from './serverDirectory.js';
import type {ServerOutcomes} from './serverOutcomes.js';
import type {ServerSelector} from './serverSelector.js';

export interface GaugeSources {
  readonly deployments: DeploymentStore;
  readonly directory: ServerDirectory;
  readonly evacuations: Evacuations;
  readonly outcomes: ServerOutcomes;
  readonly selector: ServerSelector;
  readonly intake: RequestIntake;
  readonly fleet: FleetView;
  readonly exchange: PeerExchange;
  readonly budgets: RetryBudgets;
  readonly shares: CustomerShares;
  readonly meter: InputMeter;
  readonly calls: PublishedStateCalls;
  readonly callerAddresses: CallerAddresses;
  /** Absent where log lines don't go through a `LogSink`. */
  readonly logCounts?: Readonly<LogSinkCounts>;
}

/** Registers the gauges of a router in its metrics. */
export function registerGauges(
  metrics: RouterMetrics,
  sources: GaugeSources,
): void {
  const {deployments, directory, outcomes, intake, fleet} = sources;
  const {selector, exchange, budgets, calls, logCounts, evacuations} = sources;
  const {shares, meter} = sources;
  metrics.registerGauge({
    name: 'anvilstall_active_requests',
    help: 'Requests without a whole answer',
    measure: () => intake.active,
  });
  metrics.registerGauge({
    name: 'anvilstall_accept_wait_ms',
    help: 'Time for which connections wait to be accepted',
    measure: () => intake.measureAcceptWaitMs(),
  });
  metrics.registerGauge({
    name: 'anvilstall_deployment_version',
    help: 'Version of the deployment in force',
    measure: () => deployments.version,
  });
  metrics.registerGauge({
    name: 'anvilstall_server_view_age_ms',
    help: 'Age of the view of backend servers',
    measure: () => directory.measureAgeMs(),
  });
  metrics.registerLabelledGauge({
    name: 'anvilstall_backend_servers',
    help: 'Usable backend servers, and those of them that are passed over',
    label: 'state',
    measure: () => {
      const servers = [...directory.listAll()];
      const count = (isPassedOver: (id: string) => boolean) =>
        servers.filter(({id}) => isPassedOver(id)).length;
      const evacuated = servers.filter(({zone}) =>
        evacuations.isEvacuated(zone),
      );
      return [
        ['usable', servers.length],
        ['evacuated', evacuated.length],
        ['unreachable', count(id => outcomes.isUnreachable(id))],
        ['unwilling', count(id => outcomes.isUnwilling(id))],
      ];
    },
  });
  metrics.registerLabelledGauge({
    name: 'anvilstall_server_speed',
    help: 'Learned speed of a backend server as a multiple of the mean of its service',
    label: 'server',
    measure: () => selector.listSpeeds().map(({id, speed}) => [id, speed]),
  });
  metrics.registerLabelledGauge({
    name: 'anvilstall_server_speed_age_ms',
    help: 'Time since this router last measured the speed of a backend server',
    label: 'server',
    measure: () =>
      selector
        .listSpeeds()
        .flatMap(({id, ageMs}) => (ageMs === undefined ? [] : [[id, ageMs]])),
  });
  metrics.registerLabelledGauge({
    name: 'anvilstall_evacuated_zones',
    help: '1 for an evacuated zone, 0 for one that has returned to service',
    label: 'zone',
    measure: () =>
      evacuations
        .listZones()
        .map(({zone}) => [zone, Number(evacuations.isEvacuated(zone))]),
  });
  metrics.registerLabelledGauge({
    name: 'anvilstall_retry_budget',
    help: 'Requests that this router may send again now',
    label: 'service',
    measure: () => budgets.list(),
  });
  metrics.registerLabelledGauge({
    name: 'anvilstall_platform_calls',
    help: 'Calls to the platform since the start',
    label: 'kind',
    measure: () => [
      ['read', calls.reads],
      ['watch', calls.watches],
      ['failed', calls.failed],
    ],
  });
  metrics.registerGauge({
    name: 'anvilstall_peers_alive',
    help: 'Other routers that were heard lately',
    measure: () => fleet.listAlive().length,
  });
  metrics.registerLabelledGauge({
    name: 'anvilstall_peer_reports',
    help: 'Datagrams to other routers since the start, and their bytes',
    label: 'unit',
    measure: () => [
      ['datagrams', exchange.counts.sent],
      ['bytes', exchange.counts.sentBytes],
    ],
  });
  registerCallerRouting(metrics, sources.callerAddresses);
  metrics.registerGauge({
    name: 'anvilstall_memory_bytes',
    help: 'Resident memory of the process',
    measure: () => process.memoryUsage.rss(),
  });
  registerInputGauges(metrics, meter);
  registerShareGauges(metrics, shares);
  if (!logCounts) return;
  metrics.registerLabelledGauge({
    name: 'anvilstall_log_lines',
    help: 'Log lines since the start by what became of them',
    label: 'fate',
    measure: () => Object.entries(logCounts),
  });
}

/** Registers the gauges of the routers that callers of this zone are sent to. */
function registerCallerRouting(
  metrics: RouterMetrics,
  callerAddresses: CallerAddresses,
): void {
  metrics.registerLabelledGauge({
    name: 'anvilstall_caller_routers',
    help: 'Routers of the zone, and those of them that callers are sent to',
    label: 'state',
    measure: () => {
      const {offered, routers, fast, reporting} = callerAddresses.describe();
      return Object.entries({offered, routers, fast, reporting});
    },
  });
  metrics.registerLabelledGauge({
    name: 'anvilstall_caller_demand',
    help: 'Demand of the callers of the zone, summed over its routers',
    label: 'unit',
    measure: () => Object.entries(callerAddresses.describe().demand),
  });
  metrics.registerGauge({
    name: 'anvilstall_caller_use_ratio',
    help: 'Use of the smallest offered router, 1 being all that it may use',
    measure: () => callerAddresses.describe().use?.use ?? 0,
  });
}

/** Registers what received bytes cost. */
function registerInputGauges(metrics: RouterMetrics, meter: InputMeter): void {
  metrics.registerGauge({
    name: 'anvilstall_input_bytes',
    help: 'Memory of answers, events, uploads and documents that are incomplete',
    measure: () => meter.heldBytes,
  });
  metrics.registerLabelledGauge({
    name: 'anvilstall_input_limits',
    help: 'Pauses of readers with many small pieces, and inputs that were ended for lack of memory, since the start',
    label: 'kind',
    measure: () => [
      ['pause', meter.pacer.pauses],
      ['eviction', meter.evictions],
    ],
  });
}

/** Registers gauges by customer; the labels are those of the configuration. */
function registerShareGauges(
  metrics: RouterMetrics,
  shares: CustomerShares,
): void {
  const label = 'customer';
  metrics.registerLabelledGauge({
    name: 'anvilstall_customer_usage_ms',
    help: 'Server time used in the fleet, decayed with 2 s',
    label,
    measure: () => shares.sumUsage(),
  });
  metrics.registerLabelledGauge({
    name: 'anvilstall_customer_beyond_share',
    help: 'Tiers of services in which a customer is beyond its share',
    label,
    measure: () => shares.countBeyond(),
  });
  metrics.registerLabelledGauge({
    name: 'anvilstall_customer_refusals',
    help: 'Requests refused for lack of room at the servers since the start',
    label,
    measure: () => shares.listRefusals(WaitCause.Capacity),
  });
  metrics.registerLabelledGauge({
    name: 'anvilstall_customer_share_refusals',
    help: 'Requests refused beyond the share of their customer since the start',
    label,
    measure: () => shares.listRefusals(WaitCause.Share),
  });
}
