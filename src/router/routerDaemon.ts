/** Assembles a router from its components and runs it. */
import type {Evacuations} from '../evacuation/evacuations.js';
import type {CustomerShares} from '../customerShares/customerShares.js';
import {FleetTotals} from '../fleetTotals/fleetTotals.js';
import {waitFor} from '../node/delay.js';
import {Log} from '../node/log.js';
import {SignalAge} from '../node/signalAge.js';
import {RestartPolicy, Supervisor} from '../node/supervisor.js';
import {AnswerNotices} from './answerNotices.js';
import {CallerRouting} from './callerRouting.js';
import {BackendConnections} from './backendConnections.js';
import {ControlServers} from './controlServers.js';
import {CrashQuarantine} from './crashQuarantine.js';
import {describeBlocked} from './describeBlock.js';
import {DeploymentStore} from './deploymentStore.js';
import {EndedServers} from './endedServers.js';
import {createEvacuations} from './evacuationStart.js';
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
import {Pacing} from './pacing.js';
import {isServing, RouterStatus} from './peerReport.js';
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
import {describeServers, listLimited} from './serverDump.js';
import {ServerLimits} from './serverLimits.js';
import {ServerLoadTracker} from './serverLoads.js';
import {ServerOutcomes} from './serverOutcomes.js';
import {ServerReporter} from './serverReporter.js';
import {ServerSelector} from './serverSelector.js';
import {ShutdownSchedule} from './shutdownSchedule.js';
import {SharedNotices} from './sharedNotices.js';
import {buildServerSpeeds} from './speedTracking.js';
import {StateFollower} from './stateFollower.js';
import {describeVersions} from './stateVersions.js';

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
  private readonly quarantine: CrashQuarantine;
  private readonly limits = new ServerLimits({
    announce: () => this.exchange.announce(),
    getPosition: () => findPosition(this.findOffered()),
  });
  private readonly totals = new FleetTotals({
    usesRelays: () => this.exchange.usesRelays,
  });
  private readonly evacuations: Evacuations;
  private readonly notices = new SharedNotices(() => this.exchange.announce());
  private readonly idleReuse: IdleReuseSuspensions;
  private readonly pacing: Pacing;
  private readonly shares: CustomerShares;
  private readonly connections = new BackendConnections();
  private readonly budgets: RetryBudgets;
  private readonly deployments: DeploymentStore;
  private readonly selector: ServerSelector;
  private readonly exchange: PeerExchange;
  private readonly intake: RequestIntake;
  private readonly callerRouting: CallerRouting;
  private readonly loop: LoopMonitor;
  private readonly control: ControlServers;
  private readonly endedServers: EndedServers;
  private readonly signalAge = new SignalAge();
  private isLeaving = false;
  /** False while callers are given only the addresses of other routers. */
  private isOffered = true;

  private constructor(
    private settings: RouterSettings,
    private readonly platform: RouterPlatform,
  ) {
    const {address, listen, seeds, vm, zone, linkMbps} = settings;
    const processorShare = settings.processorShare * settings.processorSpeed;
    this.log = new Log({vm});
    this.supervisor = new Supervisor('router', this.log);
    this.deployments = new DeploymentStore(this.log);
    this.evacuations = createEvacuations(settings, this.log);
    this.quarantine = new CrashQuarantine({
      isFirstStart: settings.isFirstStart,
      announce: () => this.exchange.announce(),
      isProber: (suspect, count) =>
        isAmongChosen(String(suspect), count, this.findOffered()),
    });
    this.fleet = new FleetView(address);
    this.budgets = new RetryBudgets(
      () => this.settings.retries,
      () => countSharingRouters(this.fleet, this.isOffered),
      settings.isFirstStart,
    );
    const {directory, loads, outcomes, fleet, prompts} = this;
    const {metrics, connections, deployments, log, notices, quarantine} = this;
    const {limits, totals, evacuations} = this;
    const {codec, reader, meter} = platform;
    const {callers, peers} = listen;
    this.idleReuse = new IdleReuseSuspensions(
      notices,
      () => deployments.table?.deployment.services.map(({name}) => name) ?? [],
    );
    this.pacing = new Pacing({
      ...{settings, directory, deployments, fleet, notices, metrics, log},
      measureSinceReturnMs: zone => evacuations.measureSinceReturnMs(zone),
      findOffered: () => this.findOffered(),
    });
    const {pace, slowStart} = this.pacing;
    const isEnabled = settings.sharesCustomers;
    const shareSources = {isEnabled, totals, deployments, log};
    this.shares = buildCustomerShares(shareSources);
    const leaving = new LeavingServers(directory, notices);
    const kept = {directory, connections, outcomes, prompts, limits};
    this.endedServers = new EndedServers(kept);
    this.selector = new ServerSelector({
      zone,
      directory,
      loads,
      outcomes,
      limits,
      speeds: buildServerSpeeds({
        isEnabled: settings.learnsServerSpeeds,
        directory,
        totals,
        log,
      }),
      evacuations,
      pace,
      slowStart,
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
      getVersions: () =>
        describeVersions({deployments, directory, evacuations}),
    });
    const endpoints = {vm, zone, callers, peers, linkMbps, processorShare};
    this.exchange = new PeerExchange({
      address,
      port: listen.exchangePort,
      endpoints,
      reports,
      seeds,
      fleet,
      deployments,
      servers: directory,
      evacuations,
      notices,
      quarantine,
      limits,
      totals,
      reader,
      meter,
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
      meter,
      loads,
      outcomes,
      limits,
      pace,
      slowStart,
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
      evacuations,
      forwarder,
      meter,
      metrics,
      log,
    });
    this.callerRouting = new CallerRouting({
      host: address,
      endpoints,
      intake: this.intake,
      fleet,
      totals,
      log,
      getStatus: () => this.status,
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
      listAddresses: callerZone =>
        this.callerRouting.addresses.list(callerZone),
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
    const {settings, deployments, directory, fleet, loads, outcomes} = this;
    const {counts, greetings} = this.exchange;
    return {
      vm: settings.vm,
      status: RouterStatus[this.status],
      deployment: deployments.version,
      servers: describeServers({directory, loads, outcomes, fleet}),
      serverSpeeds: this.selector.listSpeeds(),
      evacuations: this.evacuations.describe(),
      forgetfulServices: this.idleReuse.list(),
      limitedServers: listLimited(directory, this.limits),
      coldServers: this.pacing.list(),
      slowStarts: this.pacing.slowStart.list(),
      quarantine: this.quarantine.listBlocked().map(describeBlocked),
      customerShares: this.shares.describe(),
      relays: fleet.listRelays(),
      datagrams: {...counts, greetings},
      peers: fleet.describePeers(),
      callerRouting: this.callerRouting.addresses.describe(),
      active: this.intake.active,
      tasks: this.supervisor.describe(),
    };
  }

  private get status(): RouterStatus {
    if (this.isLeaving) return RouterStatus.Leaving;
    const isInformed =
      this.deployments.version > 0 &&
      this.evacuations.isKnown &&
      this.directory.measureAgeMs() < Infinity;
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
      evacuations: this.evacuations,
      outcomes,
      selector: this.selector,
      intake,
      fleet,
      exchange,
      budgets,
      shares,
      meter: platform.meter,
      calls: platform.reader.calls,
      logCounts: platform.logCounts,
      callerAddresses: this.callerRouting.addresses,
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
      evacuations: this.evacuations,
      log: this.log,
      getReadRank: () => this.computeReadRank(),
      seedIndex: settings.seeds.indexOf(settings.listen.peers),
      isFirstStart: settings.isFirstStart,
      leaveBoundMs: settings.leaveBoundMs,
      contactBoundMs: settings.contactBoundMs,
      evacuationBoundMs: settings.evacuationBoundMs,
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
      this.callerRouting.meter.sample();
      this.updateIsOffered();
      this.budgets.refill(sweepIntervalMs);
      this.endedServers.removeState();
      this.pacing.update();
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
      this.callerRouting.addresses.list(zone).includes(listen.callers);
    if (isOffered === this.isOffered) return;
    this.isOffered = isOffered;
    this.log.logInfo('listing in address answers changed', {isOffered});
    this.exchange.announce();
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

  /**
   * Reports a long prompt at once, before other routers choose the same engine.
   * In a fleet with relays, it is part of the next regular report.
   */
  private reportLoad(addedTokens: number): void {
    const isLong = addedTokens >= minImmediateReportTokens;
    if (isLong && !this.exchange.usesRelays) this.exchange.announce();
    else this.exchange.scheduleReport();
  }
}
