/** Assembles a router from its components and runs it. */
import type {CustomerShares} from '../customerShares/customerShares.js';
import {FleetTotals} from '../fleetTotals/fleetTotals.js';
import {waitFor} from '../node/delay.js';
import {Log} from '../node/log.js';
import {SignalAge} from '../node/signalAge.js';
import {RestartPolicy, Supervisor} from '../node/supervisor.js';
import {AnswerNotices} from './answerNotices.js';
import {listAddresses} from './callerAddresses.js';
import {computeCompactKey} from './compactKey.js';
import {BackendConnections} from './backendConnections.js';
import {ControlServers} from './controlServers.js';
import {CrashQuarantine} from './crashQuarantine.js';
import {isRequestKey} from './requestKey.js';
import {formatProcess} from './deployment.js';
import {DeploymentStore} from './deploymentStore.js';
import {FleetView} from './fleetView.js';
import {IdleReuseSuspensions} from './forgetfulServices.js';
import {LeavingServers} from './leavingServers.js';
import {LoopMonitor} from './loopMonitor.js';
import {
  computeRestartDelayMs,
  findPosition,
  isAmongChosen,
  listRestarting,
  type OfferedRouters,
} from './offeredRouters.js';
import {PeerExchange} from './peerExchange.js';
import {OwnReportBuilder} from './ownReportBuilder.js';
import {isServing, RouterStatus, type StateVersions} from './peerReport.js';
import {PrefixCacheDirectory} from './promptDirectory.js';
import {computeReadRank} from './readOrder.js';
import {RequestForwarder} from './requestForwarder.js';
import {RequestIntake} from './requestIntake.js';
import {buildCustomerShares} from './requestShare.js';
import {countSharingRouters, RetryBudgets} from './retryBudgets.js';
import {registerGauges} from './routerGauges.js';
import {RouterMetrics} from './routerMetrics.js';
import type {RouterPlatform} from './routerPlatform.js';
import type {RouterSettings} from './routerSettings.js';
import {ServerDirectory} from './serverDirectory.js';
import {ServerLimits} from './serverLimits.js';
import {ServerLoadTracker} from './serverLoads.js';
import {ServerOutcomes} from './serverOutcomes.js';
import {ServerReporter} from './serverReporter.js';
import {computeLimitKey, ServerSelector} from './serverSelector.js';
import {ShutdownSchedule} from './shutdownSchedule.js';
import {SharedNotices} from './sharedNotices.js';
import {StateFollower} from './stateFollower.js';

/** Longest time that the tasks may take to stop. */
const taskStopTimeoutMs = 100;
/** Interval at which a draining router checks for requests in flight. */
const drainPollMs = 50;
/** Interval at which state about servers that have left is removed. */
const sweepIntervalMs = 500;
const summaryIntervalMs = 10_000;
/**
 * A prompt with at least this many tokens to prefill is reported to the peers
 * at once: it occupies an engine for about 35 ms, a considerable part of the
 * report interval.
 */
const minImmediateReportTokens = 2_048;

/** One router process. It is the only process on its VM. */
export class RouterDaemon {
  private readonly log: Log;
  private readonly supervisor: Supervisor;
  private readonly metrics = new RouterMetrics();
  private readonly directory = new ServerDirectory();
  private readonly loads = new ServerLoadTracker();
  private readonly outcomes = new ServerOutcomes();
  private readonly fleet: FleetView;
  private readonly prompts = new PrefixCacheDirectory();
  private readonly quarantine = new CrashQuarantine({
    announce: () => this.exchange.announce(),
    isProber: (suspect, count) =>
      isAmongChosen(String(suspect), count, this.findOffered()),
  });
  private readonly limits = new ServerLimits({
    announce: () => this.exchange.announce(),
    getPosition: () => findPosition(this.findOffered()),
  });
  private readonly totals = new FleetTotals({
    usesRelays: () => this.exchange.usesRelays,
  });
  private readonly notices = new SharedNotices(() => this.exchange.announce());
  private readonly idleReuse: IdleReuseSuspensions;
  private readonly shares: CustomerShares;
  private readonly connections = new BackendConnections();
  private readonly budgets: RetryBudgets;
  private readonly deployments: DeploymentStore;
  private readonly selector: ServerSelector;
  private readonly exchange: PeerExchange;
  private readonly intake: RequestIntake;
  private readonly loop: LoopMonitor;
  private readonly control: ControlServers;
  /** Processes of the usable servers, by server id; see `formatProcess`. */
  private readonly serverProcesses = new Map<string, string>();
  private readonly signalAge = new SignalAge();
  private isLeaving = false;
  /** False while callers are given only the addresses of other routers. */
  private isOffered = true;

  private constructor(
    private settings: RouterSettings,
    private readonly platform: RouterPlatform,
  ) {
    const {address, listen, seeds, vm, zone, linkMbps} = settings;
    this.log = new Log({vm});
    this.supervisor = new Supervisor('router', this.log);
    this.deployments = new DeploymentStore(this.log);
    this.fleet = new FleetView(address);
    this.budgets = new RetryBudgets(
      () => this.settings.retries,
      () => countSharingRouters(this.fleet, this.isOffered),
      settings.isFirstStart,
    );
    const {directory, loads, outcomes, fleet, prompts} = this;
    const {metrics, connections, deployments, log, notices, quarantine} = this;
    const {limits, totals} = this;
    const {codec, reader} = platform;
    const {callers, peers} = listen;
    this.idleReuse = new IdleReuseSuspensions(
      notices,
      () => deployments.table?.deployment.services.map(({name}) => name) ?? [],
    );
    this.shares = buildCustomerShares(totals, deployments, log);
    const leaving = new LeavingServers(directory, notices);
    this.selector = new ServerSelector({
      zone,
      directory,
      loads,
      outcomes,
      limits,
      fleet,
      prompts,
      deployments,
    });
    const reports = new OwnReportBuilder({
      reporter: new ServerReporter(directory, loads, outcomes),
      selector: this.selector,
      notices,
      quarantine,
      limits,
      totals,
      getStatus: () => this.status,
      getVersions: () => this.describeVersions(),
    });
    this.exchange = new PeerExchange({
      address,
      port: listen.exchangePort,
      endpoints: {vm, zone, callers, peers, linkMbps},
      reports,
      seeds,
      fleet,
      deployments,
      servers: directory,
      notices,
      quarantine,
      limits,
      totals,
      reader,
      log,
      leaveBoundMs: settings.leaveBoundMs,
      recordPlacement: (part, server) =>
        this.selector.recordPeerPlacement(part, server),
    });
    loads.watch(addedTokens => this.reportLoad(addedTokens));
    const forwarder = new RequestForwarder({
      codec,
      directory,
      selector: this.selector,
      connections,
      loads,
      outcomes,
      limits,
      quarantine,
      answerNotices: new AnswerNotices({leaving, limits, log}),
      idleReuse: this.idleReuse,
      metrics,
      log,
      budgets: this.budgets,
      shares: this.shares,
    });
    this.intake = new RequestIntake({
      codec,
      deployments,
      forwarder,
      metrics,
      log,
    });
    this.loop = new LoopMonitor({intake: this.intake, metrics, log});
    this.control = new ControlServers({
      codec,
      deployments,
      servers: directory,
      metrics,
      log,
      maxAddressTtlSeconds: settings.maxAddressTtlSeconds,
      isReady: () => isServing(this.status),
      listAddresses: callerZone => this.listAddresses(callerZone),
      dump: () => this.describe(),
    });
  }

  /** Starts a router; it is ready once it knows a deployment and servers. */
  static async start(
    settings: RouterSettings,
    platform: RouterPlatform,
  ): Promise<RouterDaemon> {
    const daemon = new RouterDaemon(settings, platform);
    await daemon.listen();
    return daemon;
  }

  /**
   * Shuts down gracefully: reports itself as not ready, accepts requests while
   * callers still have its address, and finishes the requests in flight.
   */
  async stop(): Promise<void> {
    if (this.isLeaving) return;
    const signalAgeMs = this.signalAge.computeMaxMs();
    const graceMs = this.settings.shutdown.graceSeconds * 1_000;
    const schedule = new ShutdownSchedule(graceMs, signalAgeMs);
    this.isLeaving = true;
    this.log.logInfo('leaving', {
      active: this.intake.active,
      signalAgeMs: Math.round(signalAgeMs),
    });
    this.intake.drain(schedule.acceptMs);
    this.exchange.announce();
    await waitFor(schedule.acceptMs);
    await this.intake.close();
    this.log.logInfo('closed to new requests', {
      active: this.intake.active,
      ms: Math.round(performance.now() - schedule.startedAtMs),
    });
    while (this.intake.active > 0 && !schedule.isOver()) {
      const polledAtMs = performance.now();
      await waitFor(drainPollMs);
      schedule.recordLag(performance.now() - polledAtMs - drainPollMs);
    }
    await this.stopNow();
  }

  /**
   * Stops without waiting for requests in flight; those whose answer has not
   * begun are refused.
   */
  async stopNow(): Promise<void> {
    const startedAtMs = performance.now();
    this.log.logInfo('stopped', {active: this.intake.active});
    this.intake.logInFlight();
    this.signalAge.stop();
    await this.intake.refuseUnanswered();
    this.control.close();
    await this.supervisor.stop(taskStopTimeoutMs);
    this.log.logInfo('tasks stopped', {
      ms: Math.round(performance.now() - startedAtMs),
    });
    // Ending hundreds of streams takes longer than the end of the process, which
    // closes their connections.
    this.intake.destroy();
  }

  /** Waits for this router's turn to restart; see `computeRestartDelayMs`. */
  async waitForRestart(): Promise<void> {
    const {address: host, shutdown, contactBoundMs} = this.settings;
    const restartMs = shutdown.graceSeconds * 1_000 + contactBoundMs;
    const {isOffered} = this;
    const others = listRestarting(this.fleet);
    const delayMs = computeRestartDelayMs({host, isOffered, others}, restartMs);
    this.log.warn('restart is due', {delayMs});
    await waitFor(delayMs, this.supervisor.signal);
  }

  /** Applies seeds and retry budget; other settings need a restart. */
  reload(settings: RouterSettings): void {
    this.settings = settings;
    this.exchange.useSeeds(settings.seeds);
    this.log.logInfo('settings reloaded', {seeds: settings.seeds.length});
  }

  /** Builds the state dump for operators. */
  describe(): object {
    const {settings, deployments, directory, fleet} = this;
    return {
      vm: settings.vm,
      status: RouterStatus[this.status],
      deployment: deployments.version,
      servers: {
        ...directory.position,
        ageMs: Math.round(directory.measureAgeMs()),
        usable: [...directory.listAll()].map(server => ({
          id: server.id,
          service: server.service,
          zone: server.zone,
          own: this.loads.get(server.id),
          fleet: fleet.sumLoad(computeCompactKey(server.id)),
          outcomes: this.outcomes.get(server.id),
        })),
      },
      forgetfulServices: this.idleReuse.list(),
      limitedServers: [...directory.listAll()].flatMap(server => {
        const perSecond = this.limits.getPerSecond(computeLimitKey(server));
        return perSecond === undefined ? [] : [{id: server.id, perSecond}];
      }),
      quarantine: this.quarantine.listBlocked().map(([key, crashes]) => ({
        kind: isRequestKey(key) ? 'request' : 'promptPart',
        key,
        crashes,
      })),
      customerShares: this.shares.describe(),
      relays: fleet.listRelays(),
      datagrams: {
        ...this.exchange.counts,
        greetings: this.exchange.greetings,
      },
      peers: fleet.listKnown().map(({host, identity, status, heardAtMs}) => ({
        host,
        vm: identity.vm,
        status: RouterStatus[status],
        heardAgoMs: Math.round(performance.now() - heardAtMs),
      })),
      active: this.intake.active,
      tasks: this.supervisor.describe(),
    };
  }

  private get status(): RouterStatus {
    if (this.isLeaving) return RouterStatus.Leaving;
    const isInformed =
      this.deployments.version > 0 && this.directory.measureAgeMs() < Infinity;
    if (!isInformed) return RouterStatus.Starting;
    return this.isOffered ? RouterStatus.Ready : RouterStatus.Resting;
  }

  private async listen(): Promise<void> {
    const {listen, address} = this.settings;
    const {signal} = this.supervisor;
    const {deployments, directory, outcomes, intake, fleet} = this;
    const {exchange, budgets, platform, shares} = this;
    registerGauges(this.metrics, {
      deployments,
      directory,
      outcomes,
      intake,
      fleet,
      exchange,
      budgets,
      shares,
      calls: platform.reader.calls,
      logCounts: platform.logCounts,
    });
    this.control.addReady(listen.ready);
    this.control.addAddresses(listen.addresses);
    this.control.addPeers(listen.peers);
    if (listen.metricsPort > 0) {
      this.control.addOperations(`${address}:${listen.metricsPort}`);
    }
    await this.exchange.listen(signal);
    await this.control.listen();
    const [host, port] = listen.callers.split(':');
    await this.intake.listen(host, Number(port));
    this.log.logInfo('started', {callers: listen.callers});
    this.signalAge.start();
    this.spawnTasks();
  }

  private spawnTasks(): void {
    const {settings} = this;
    const {reader} = this.platform;
    const follower = new StateFollower({
      reader,
      deployments: this.deployments,
      servers: this.directory,
      log: this.log,
      getReadRank: () => this.computeReadRank(),
      seedIndex: settings.seeds.indexOf(settings.listen.peers),
      isFirstStart: settings.isFirstStart,
      leaveBoundMs: settings.leaveBoundMs,
      contactBoundMs: settings.contactBoundMs,
      announce: () => this.exchange.announce(),
    });
    const spawn = (name: string, run: (signal: AbortSignal) => Promise<void>) =>
      this.supervisor.spawn({name, restart: RestartPolicy.OnFailure, run});
    spawn('servers', signal => follower.runServers(signal));
    spawn('deployments', signal => follower.runDeployments(signal));
    spawn('peer reports', signal => this.exchange.runSender(signal));
    spawn('discovery', signal => this.exchange.runDiscovery(signal));
    spawn('sweep', signal => this.runSweep(signal));
    spawn('summary', signal => this.runSummary(signal));
  }

  /**
   * Refills retry budgets, removes state of servers that have left, and records
   * how late its timer fires.
   */
  private async runSweep(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const startedAtMs = performance.now();
      await waitFor(sweepIntervalMs, signal);
      this.loop.record(performance.now() - startedAtMs - sweepIntervalMs);
      this.fleet.expireSilent();
      this.updateIsOffered();
      this.budgets.refill(sweepIntervalMs);
      this.removeEndedServers();
    }
  }

  /**
   * Checks whether callers are given this router's address. While they aren't,
   * its status is `Resting`.
   */
  private updateIsOffered(): void {
    const {zone, listen} = this.settings;
    const isOffered =
      !isServing(this.status) ||
      this.listAddresses(zone).includes(listen.callers);
    if (isOffered === this.isOffered) return;
    this.isOffered = isOffered;
    this.log.logInfo('listing in address answers changed', {isOffered});
    this.exchange.announce();
  }

  private removeEndedServers(): void {
    for (const [id, process] of this.serverProcesses) {
      const server = this.directory.findUsable(id);
      if (server && formatProcess(server) === process) continue;
      this.serverProcesses.delete(id);
      this.connections.release(id);
      this.outcomes.forget(id);
      this.prompts.forgetServer(computeCompactKey(id));
    }
    for (const server of this.directory.listAll()) {
      this.serverProcesses.set(server.id, formatProcess(server));
    }
    if (this.limits.isEmpty) return;
    const keys = [...this.directory.listAll()].map(computeLimitKey);
    const running = new Set(keys);
    this.limits.forgetEnded(key => running.has(key));
  }

  /** Logs counters at a fixed interval. */
  private async runSummary(signal: AbortSignal): Promise<void> {
    const {calls} = this.platform.reader;
    while (!signal.aborted) {
      await waitFor(summaryIntervalMs, signal);
      this.log.logInfo('summary', {
        active: this.intake.active,
        reads: calls.reads,
        watches: calls.watches,
        failedCalls: calls.failed,
        serversEpoch: this.directory.position.epoch,
        serversRevision: this.directory.position.revision,
        reports: this.exchange.counts.sent,
        reportBytes: this.exchange.counts.sentBytes,
        pulls: this.exchange.pulls,
        peers: this.fleet.listAlive().length,
        ...this.loop.takeFields(),
        rssMb: Math.round(process.memoryUsage.rss() / 2 ** 20),
      });
    }
  }

  private computeReadRank(): number {
    const {fleet, exchange, settings} = this;
    return computeReadRank({
      host: settings.address,
      isRelay: exchange.isRelay,
      relays: fleet.listRelays(),
      alive: fleet.listAlive().map(({host}) => host),
      hasContact: fleet.hasContact(),
    });
  }

  /** This router and the others that callers are sent to. */
  private findOffered(): OfferedRouters {
    const others = this.fleet
      .listReady()
      .filter(({status}) => status === RouterStatus.Ready)
      .map(({host}) => host);
    const {isOffered, settings} = this;
    return {host: settings.address, isOffered, others};
  }

  private listAddresses(zone: string | undefined): string[] {
    const {listen, zone: ownZone, linkMbps} = this.settings;
    const isReady = isServing(this.status);
    const {callers} = listen;
    const own = {callers, zone: ownZone, linkMbps, isReady};
    return listAddresses(own, this.fleet, zone);
  }

  /**
   * Reports a long prompt at once, before other routers choose the same engine.
   * In a fleet with relays, it is part of the next regular report.
   */
  private reportLoad(addedTokens: number): void {
    const isLong = addedTokens >= minImmediateReportTokens;
    if (isLong && !this.exchange.usesRelays) this.exchange.announce();
    else this.exchange.scheduleReport();
  }

  private describeVersions(): StateVersions {
    const ageMs = this.directory.measureAgeMs();
    const {position} = this.directory;
    return {
      deploymentVersion: this.deployments.version,
      serversEpoch: position.epoch,
      serversRevision: position.revision,
      serversDigest: this.directory.digest,
      serversAgeMs: Number.isFinite(ageMs) ? Math.round(ageMs) : -1,
    };
  }
}
