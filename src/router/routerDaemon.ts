/** Builds a router from its parts and runs it. */
import {waitFor} from '../node/delay.js';
import {Log} from '../node/log.js';
import type {LogSinkCounts} from '../node/logSink.js';
import {RestartPolicy, Supervisor} from '../node/supervisor.js';
import {listAddresses} from './addressBook.js';
import {computeKey} from './compactKey.js';
import {BackendConnections} from './backendConnections.js';
import {ControlServers} from './controlServers.js';
import {CrashSuspects} from './crashSuspects.js';
import {formatProcess} from './deployment.js';
import {DeploymentStore} from './deploymentStore.js';
import {FleetView} from './fleetView.js';
import {ForgetfulServices} from './forgetfulServices.js';
import {LeavingServers} from './leavingServers.js';
import type {MessageCodec} from './messageCodec.js';
import {PeerExchange} from './peerExchange.js';
import {OwnReports} from './ownReports.js';
import {isServing, RouterStatus, type StateVersions} from './peerReport.js';
import {PromptDirectory} from './promptDirectory.js';
import type {PublishedStateReader} from './publishedState.js';
import {RequestForwarder} from './requestForwarder.js';
import {RequestIntake} from './requestIntake.js';
import {RetryBudgets} from './retryBudgets.js';
import {registerGauges} from './routerGauges.js';
import {RouterMetrics} from './routerMetrics.js';
import type {RouterSettings} from './routerSettings.js';
import {ServerDirectory} from './serverDirectory.js';
import {ServerLoads} from './serverLoads.js';
import {ServerOutcomes} from './serverOutcomes.js';
import {ServerReporter} from './serverReporter.js';
import {ServerSelector} from './serverSelector.js';
import {SharedNotices} from './sharedNotices.js';
import {StateFollower} from './stateFollower.js';

/**
 * Callers keep addresses for seconds after a stop began; meanwhile the router
 * goes on taking requests, in milliseconds.
 */
const leaveListenMs = 2_800;
/** Part of the grace period that is kept for the exit, in milliseconds. */
const exitMarginMs = 400;
/** Interval at which a stopping router looks for open requests. */
const leavePollMs = 50;
/** Sweep of state about servers that have left, in milliseconds. */
const sweepIntervalMs = 500;
/** Interval of summary lines in the log, in milliseconds. */
const summaryIntervalMs = 10_000;
/**
 * Prompts with as many unread tokens are reported at once: they take an engine
 * about 35 ms, a good part of the interval of reports.
 */
const minUrgentTokens = 2_048;

/**
 * What a router read reaches others through two relays, so many steps of the
 * read order later than without.
 */
const relayedReadRanks = 7;

/** What a router needs from the platform that it runs on. */
export interface RouterPlatform {
  readonly codec: MessageCodec;
  readonly reader: PublishedStateReader;
  /** Counts of log lines, for metrics. */
  readonly logCounts?: Readonly<LogSinkCounts>;
}

/** One router: the only process on its VM. */
export class RouterDaemon {
  private readonly log: Log;
  private readonly supervisor: Supervisor;
  private readonly metrics = new RouterMetrics();
  private readonly directory = new ServerDirectory();
  private readonly loads = new ServerLoads();
  private readonly outcomes = new ServerOutcomes();
  private readonly fleet: FleetView;
  private readonly prompts = new PromptDirectory();
  private readonly suspects = new CrashSuspects();
  private readonly notices = new SharedNotices(() => this.exchange.announce());
  private readonly forgetful: ForgetfulServices;
  private readonly connections = new BackendConnections();
  private readonly budgets = new RetryBudgets(
    () => this.settings.retries,
    () =>
      this.isOffered ? this.fleet.countActive() + 1 : this.fleet.countRouters(),
  );
  private readonly deployments: DeploymentStore;
  private readonly selector: ServerSelector;
  private readonly exchange: PeerExchange;
  private readonly intake: RequestIntake;
  private readonly control: ControlServers;
  /** Processes of the usable servers, by id. */
  private readonly processes = new Map<string, string>();
  private isLeaving = false;
  /** False while callers are given the addresses of other routers only. */
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
    const {directory, loads, outcomes, fleet, prompts, suspects} = this;
    const {metrics, connections, deployments, log, notices} = this;
    const {codec, reader} = platform;
    this.forgetful = new ForgetfulServices(
      notices,
      () => deployments.table?.deployment.services.map(({name}) => name) ?? [],
    );
    const leaving = new LeavingServers(directory, notices);
    this.selector = new ServerSelector({
      zone,
      directory,
      loads,
      outcomes,
      fleet,
      prompts,
      deployments,
    });
    const reports = new OwnReports({
      reporter: new ServerReporter(directory, loads, outcomes),
      selector: this.selector,
      suspects,
      notices,
      getStatus: () => this.status,
      getVersions: () => this.describeVersions(),
    });
    this.exchange = new PeerExchange({
      address,
      port: listen.exchangePort,
      endpoints: {
        vm,
        zone,
        callers: listen.callers,
        peers: listen.peers,
        linkMbps,
      },
      reports,
      seeds,
      fleet,
      deployments,
      servers: directory,
      suspects,
      notices,
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
      suspects,
      leaving,
      forgetful: this.forgetful,
      metrics,
      log,
      budgets: this.budgets,
    });
    this.intake = new RequestIntake({
      codec,
      deployments,
      forwarder,
      metrics,
      log,
    });
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
   * Leaves the fleet: no longer ready, takes requests while callers still have
   * its address, and finishes what it has taken.
   */
  async stop(): Promise<void> {
    if (this.isLeaving) return;
    const startedAtMs = performance.now();
    this.isLeaving = true;
    this.log.note('leaving', {active: this.intake.active});
    this.intake.drain();
    this.exchange.announce();
    await waitFor(leaveListenMs);
    await this.intake.close();
    const graceMs = this.settings.shutdown.graceSeconds * 1_000;
    const endsAtMs = startedAtMs + graceMs - exitMarginMs;
    while (this.intake.active > 0 && performance.now() < endsAtMs) {
      await waitFor(leavePollMs);
    }
    await this.stopNow();
  }

  /** Stops without waiting for what is in progress. */
  async stopNow(): Promise<void> {
    this.log.note('stopped', {active: this.intake.active});
    await this.supervisor.stop();
    this.intake.destroy();
    this.control.close();
  }

  /** Takes over seeds and retry budget; other settings need a restart. */
  reload(settings: RouterSettings): void {
    this.settings = settings;
    this.exchange.useSeeds(settings.seeds);
    this.log.note('settings reloaded', {seeds: settings.seeds.length});
  }

  /** State for operators. */
  describe(): object {
    const {settings, deployments, directory, fleet} = this;
    return {
      vm: settings.vm,
      status: RouterStatus[this.status],
      deployment: deployments.version,
      servers: {
        revision: directory.revision,
        ageMs: Math.round(directory.measureAgeMs()),
        usable: [...directory.listAll()].map(server => ({
          id: server.id,
          service: server.service,
          zone: server.zone,
          own: this.loads.get(server.id),
          fleet: fleet.sumLoad(computeKey(server.id)),
          outcomes: this.outcomes.get(server.id),
        })),
      },
      forgetfulServices: this.forgetful.list(),
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
    const {exchange, budgets, platform} = this;
    registerGauges(this.metrics, {
      deployments,
      directory,
      outcomes,
      intake,
      fleet,
      exchange,
      budgets,
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
    this.log.note('started', {callers: listen.callers});
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

  /** Drops what belongs to servers that have left. */
  private async runSweep(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const startedAtMs = performance.now();
      await waitFor(sweepIntervalMs, signal);
      const waitedMs = performance.now() - startedAtMs;
      this.metrics.recordLag(waitedMs - sweepIntervalMs);
      this.fleet.refresh();
      this.noteOffer();
      this.budgets.refill(sweepIntervalMs);
      this.forgetEndedServers();
    }
  }

  /** A router that callers aren't sent to rests, and wakes when they are. */
  private noteOffer(): void {
    const {zone, listen} = this.settings;
    const isOffered =
      !isServing(this.status) ||
      this.listAddresses(zone).includes(listen.callers);
    if (isOffered === this.isOffered) return;
    this.isOffered = isOffered;
    this.log.note('offer to callers changed', {isOffered});
    this.exchange.announce();
  }

  private forgetEndedServers(): void {
    for (const [id, process] of this.processes) {
      const server = this.directory.findUsable(id);
      if (server && formatProcess(server) === process) continue;
      this.processes.delete(id);
      this.connections.release(id);
      this.outcomes.forget(id);
      this.prompts.forgetServer(computeKey(id));
    }
    for (const server of this.directory.listAll()) {
      this.processes.set(server.id, formatProcess(server));
    }
  }

  /** Logs counters from time to time. */
  private async runSummary(signal: AbortSignal): Promise<void> {
    const {calls} = this.platform.reader;
    while (!signal.aborted) {
      await waitFor(summaryIntervalMs, signal);
      this.log.note('summary', {
        active: this.intake.active,
        reads: calls.reads,
        watches: calls.watches,
        failedCalls: calls.failed,
        serversRevision: this.directory.revision,
        reports: this.exchange.counts.sent,
        reportBytes: this.exchange.counts.sentBytes,
        pulls: this.exchange.pulls,
        peers: this.fleet.listAlive().length,
        rssMb: Math.round(process.memoryUsage.rss() / 2 ** 20),
      });
    }
  }

  /**
   * Position in the order in which routers read, which all of them compute
   * alike: relays by address, then the others.
   */
  private computeReadRank(): number {
    const {address} = this.settings;
    const relays = new Set(this.fleet.listRelays());
    const {isRelay} = this.exchange;
    if (isRelay) relays.add(address);
    const isBefore = (host: string) =>
      relays.has(host) === isRelay ? host < address : !isRelay;
    const hosts = this.fleet.listAlive().map(({host}) => host);
    const rank = hosts.filter(isBefore).length;
    const isLate = relays.size > 0 && !isRelay;
    return isLate ? rank + relayedReadRanks : rank;
  }

  private listAddresses(zone: string | undefined): string[] {
    const {listen, zone: ownZone, linkMbps} = this.settings;
    const isReady = isServing(this.status);
    const {callers} = listen;
    const own = {callers, zone: ownZone, linkMbps, isReady};
    return listAddresses(own, this.fleet, zone);
  }

  /**
   * Others hear of a long prompt before they choose the same engine. In a fleet
   * with relays they hear of it with the next sums.
   */
  private reportLoad(addedTokens: number): void {
    const isLong = addedTokens >= minUrgentTokens;
    if (isLong && !this.exchange.usesRelays) this.exchange.announce();
    else this.exchange.noteChange();
  }

  private describeVersions(): StateVersions {
    const ageMs = this.directory.measureAgeMs();
    return {
      deploymentVersion: this.deployments.version,
      serversRevision: this.directory.revision,
      serversDigest: this.directory.digest,
      serversAgeMs: Number.isFinite(ageMs) ? Math.round(ageMs) : -1,
    };
  }
}
