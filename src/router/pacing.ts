/** Connects the pace of cold servers with the other parts of a router. */
import type {Log, LogFields} from '../node/log.js';
import type {ColdCause, ColdServersOptions} from '../serverPace/coldServers.js';
import type {ColdStart} from '../serverPace/pacedServer.js';
import {ServerPace, type ColdServerState} from '../serverPace/serverPace.js';
import {SlowStart} from '../serverPace/slowStart.js';
import {formatProcess, type BackendServer} from './deployment.js';
import type {DeploymentStore} from './deploymentStore.js';
import type {FleetView} from './fleetView.js';
import type {OfferedRouters} from './offeredRouters.js';
import {RouterStatus} from './peerReport.js';
import type {RouterMetrics} from './routerMetrics.js';
import type {RouteTable} from './routeTable.js';
import type {RouterSettings} from './routerSettings.js';
import type {ServerDirectory} from './serverDirectory.js';
import {NoticeResult, type SharedNotices} from './sharedNotices.js';

/** A zone has just returned for this long, in milliseconds; some updates. */
const returnPeriodMs = 2_000;
/** Most servers that one log line names. */
const maxNamedServers = 8;

export interface PacingOptions extends Pick<
  ColdServersOptions,
  'measureSinceReturnMs'
> {
  readonly settings: RouterSettings;
  readonly directory: ServerDirectory;
  readonly deployments: DeploymentStore;
  readonly fleet: FleetView;
  readonly notices: SharedNotices;
  readonly metrics: RouterMetrics;
  readonly log: Log;
  readonly findOffered: () => OfferedRouters;
}

interface SeenCold {
  readonly cause: ColdCause;
  readonly sinceMs: number;
}

/**
 * Holds the pace of a router, and logs which servers become cold and warm.
 *
 * @example
 * const pacing = new Pacing(options);
 * const selector = new ServerSelector({...others, pace: pacing.pace});
 */
export class Pacing {
  readonly pace: ServerPace;
  readonly slowStart: SlowStart;
  /** Processes in the last view, by server id; undefined before the first. */
  private processes: ReadonlyMap<string, string> | undefined;
  /** Servers with a window at the last update. */
  private slowStarts: ReadonlySet<string> = new Set();
  /** Routers that callers are sent to, at the last update. */
  private routerCount = 1;
  /** Zones that have returned to service lately. */
  private returnedZones: ReadonlySet<string> = new Set();
  private coldStartByService: ReadonlyMap<string, ColdStart> = new Map();
  /** Cold servers at the last update, by id. */
  private seen = new Map<string, SeenCold>();

  /**
   * Must be created before a listener of the notices that accepts every key.
   */
  constructor(private readonly options: PacingOptions) {
    const {settings, directory, deployments, fleet} = options;
    const {notices, metrics, findOffered, measureSinceReturnMs} = options;
    this.pace = new ServerPace({
      bounds: settings.coldServers,
      getColdStart: service => this.coldStartByService.get(service),
      measureViewAgeMs: () => directory.measureAgeMs(),
      measureSinceReturnMs,
      announce: key => notices.announce(key),
      repeat: key => notices.repeat(key),
      viewSenders: () => ({
        ...findOffered(),
        seeds: settings.seeds.map(seed => seed.split(':')[0]),
        retired: fleet
          .listKnown()
          .filter(({status}) => status !== RouterStatus.Ready)
          .map(({host}) => host),
      }),
    });
    this.slowStart = new SlowStart({
      isEnabled: settings.slowStart,
      countRouters: () => this.routerCount,
    });
    const {pace, slowStart} = this;
    if (!pace.isEnabled && !slowStart.isEnabled) return;
    directory.watchReads((servers, ageMs) => {
      pace.recordRead(servers, ageMs);
      this.recordStarts(servers);
    });
    if (slowStart.isEnabled) {
      metrics.registerGauge({
        name: 'anvilstall_slow_start_servers',
        help: 'Backend servers at which slow start limits this router',
        measure: () => slowStart.list().length,
      });
    }
    if (!pace.isEnabled) return;
    deployments.watch(table => this.useDeployment(table));
    notices.watch(key => toNoticeResult(this.pace.recordNotice(key)));
    this.registerGauges();
  }

  /** Lists the cold servers, for the dump. */
  list(): ColdServerState[] {
    return this.pace.listCold(this.options.directory.listAll());
  }

  /** Updates the routers that the pace knows, and logs changes. */
  update(): void {
    const {directory} = this.options;
    const isListed = (id: string) => directory.findUsable(id) !== undefined;
    if (this.slowStart.isEnabled) {
      this.routerCount = this.options.findOffered().others.length + 1;
      this.slowStart.forgetEnded(isListed);
      this.logSlowStarts();
      this.recordReturns();
    }
    if (!this.pace.isEnabled) return;
    this.pace.update(isListed);
    const nowMs = performance.now();
    const cold = new Map<string, SeenCold>();
    const began = new Map<ColdCause, string[]>();
    for (const {id, cause} of this.list()) {
      const known = this.seen.get(id);
      const isSame = known?.cause === cause;
      cold.set(id, isSame ? known : {cause, sinceMs: nowMs});
      if (!isSame) began.set(cause, [...(began.get(cause) ?? []), id]);
    }
    const ended = [...this.seen].filter(([id]) => !cold.has(id));
    this.seen = cold;
    for (const [cause, ids] of began) {
      this.logChange('backend servers cold', ids, {cause});
    }
    if (ended.length === 0) return;
    const sinceMs = Math.min(...ended.map(([, state]) => state.sinceMs));
    const ids = ended.map(([id]) => id);
    const ms = Math.round(nowMs - sinceMs);
    this.logChange('backend servers warm', ids, {ms});
  }

  /** Begins slow start for processes that weren't in the view before. */
  private recordStarts(servers: readonly BackendServer[]): void {
    if (!this.slowStart.isEnabled) return;
    const known = this.processes;
    this.processes = new Map(servers.map(s => [s.id, formatProcess(s)]));
    for (const {id, warmUpMs} of servers) {
      const isNew = known && known.get(id) !== this.processes.get(id);
      if (isNew || (!known && warmUpMs > 0)) this.slowStart.begin(id);
    }
  }

  /** Begins slow start for the servers of zones that have just returned. */
  private recordReturns(): void {
    const {directory, measureSinceReturnMs} = this.options;
    if (!measureSinceReturnMs) return;
    const returned = new Set<string>();
    for (const {id, zone} of directory.listAll()) {
      const sinceMs = measureSinceReturnMs(zone);
      // 0 while the zone is evacuated: slow start must begin at its return.
      if (sinceMs === 0 || sinceMs > returnPeriodMs) continue;
      returned.add(zone);
      if (!this.returnedZones.has(zone)) this.slowStart.begin(id);
    }
    this.returnedZones = returned;
  }

  private useDeployment({deployment}: RouteTable): void {
    this.coldStartByService = new Map(
      deployment.services.flatMap(({name, coldStart}) =>
        coldStart ? [[name, coldStart] as const] : [],
      ),
    );
    const {directory} = this.options;
    const ageMs = directory.measureAgeMs();
    if (ageMs === Infinity) return;
    this.pace.recordRead(directory.getView().servers, ageMs);
  }

  private logSlowStarts(): void {
    const ids = new Set(this.slowStart.list().map(({id}) => id));
    const began = [...ids].filter(id => !this.slowStarts.has(id));
    const ended = [...this.slowStarts].filter(id => !ids.has(id));
    this.slowStarts = ids;
    if (began.length > 0) this.logChange('slow start began', began, {});
    if (ended.length > 0) this.logChange('slow start ended', ended, {});
  }

  private logChange(event: string, ids: string[], fields: LogFields): void {
    const servers = ids.slice(0, maxNamedServers).join(' ');
    this.options.log.logInfo(event, {...fields, count: ids.length, servers});
  }

  private registerGauges(): void {
    const {metrics} = this.options;
    metrics.registerLabelledGauge({
      name: 'anvilstall_cold_servers',
      help: 'Backend servers to which requests are paced, by cause',
      label: 'cause',
      measure: () => {
        const counts = new Map<string, number>();
        for (const {cause} of this.list()) {
          counts.set(cause, (counts.get(cause) ?? 0) + 1);
        }
        return counts;
      },
    });
    metrics.registerGauge({
      name: 'anvilstall_cold_servers_passed_over',
      help: 'Times that a request passed over a cold server, since the start',
      measure: () => this.pace.deferred,
    });
  }
}

function toNoticeResult(isNew: boolean | undefined): NoticeResult {
  if (isNew === undefined) return NoticeResult.Unrecognised;
  return isNew ? NoticeResult.New : NoticeResult.Known;
}
