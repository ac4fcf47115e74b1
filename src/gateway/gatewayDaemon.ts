/** The gateway process, which serves callers on an entry VM. */
import type {Configuration} from '../config/configuration.js';
import type {Settings} from '../config/settings.js';
import {DaemonNode} from '../node/daemonNode.js';
import {OperatorServer} from '../node/operatorServer.js';
import {RestartPolicy} from '../node/supervisor.js';
import {SuspectRegistry} from '../node/suspectRegistry.js';
import {MemberRole} from '../protocol/memberMessages.js';
import {createGatewayRouter} from '../protocol/peerRouter.js';
import {AddressAnswers} from './addressAnswers.js';
import {AddressRoute} from './addressRoute.js';
import {CallerServer} from './callerServer.js';
import {ChatRoute} from './chatRoute.js';
import {ChatService} from './chatService.js';
import {CustomerLimits} from './customerLimits.js';
import {PeerDispatcherCalls} from './dispatcherCalls.js';
import {ExpiryClock} from './expiryClock.js';
import {defaultLeaveTimes, GatewayLeave} from './gatewayLeave.js';
import {LinkedGatewayPeers} from './gatewayPeers.js';
import {LatencyEstimates} from './latencyEstimates.js';
import {LeaseClient} from './leaseClient.js';
import {DispatcherLimitSource} from './limitSource.js';
import {LoadReporter} from './loadReporter.js';
import {PrefixSigner} from './operationPrefix.js';
import {Operations} from './operations.js';
import {RequestBudget} from '../node/requestBudget.js';
import {RequestReader} from './requestReader.js';
import {retryBudget, ServiceDispatcher} from './serviceDispatcher.js';
import {ServiceRoute} from './serviceRoute.js';

/** Wires up the services of a gateway and runs them on a daemon node. */
export class GatewayDaemon {
  readonly node: DaemonNode;
  private readonly leases: LeaseClient;
  private readonly operations: Operations;
  private readonly limits: CustomerLimits;
  private readonly chat: ChatService;
  private readonly callers: CallerServer;
  private readonly leaving: GatewayLeave;
  private operatorServer: OperatorServer | undefined;
  private stopping: Promise<void> | undefined;

  private constructor(settings: Settings) {
    this.node = new DaemonNode(settings, MemberRole.Gateway);
    const signer = new PrefixSigner(settings.keys.peer);
    const latencies = new LatencyEstimates();
    this.leases = new LeaseClient(
      this.node,
      new PeerDispatcherCalls(this.node.links),
      {latencies},
    );
    const clock = new ExpiryClock();
    const retries = new RequestBudget(retryBudget);
    const services = new ServiceDispatcher(this.leases, retries);
    this.chat = new ChatService(this.leases, {
      latencies,
      retries,
      suspects: new SuspectRegistry(this.node.broadcaster),
    });
    this.operations = new Operations({
      node: this.node,
      signer,
      clock,
      sender: services,
      peers: new LinkedGatewayPeers(this.node.links),
    });
    const {membership} = this.node;
    this.limits = new CustomerLimits(new DispatcherLimitSource(this.node), {
      countGateways: () => membership.listServing(MemberRole.Gateway).length,
      countListedVms: () => membership.countListedVms(),
    });
    this.callers = this.createCallerServer(
      new AddressAnswers({
        membership: this.node.membership,
        getConfiguration: () => this.getConfiguration(),
        signer,
        clock,
        isLeaving: () => !this.operations.records.isAccepting(),
      }),
      services,
    );
    this.leaving = new GatewayLeave(
      {
        announceLeaving: () => this.node.announceLeaving(),
        callers: this.callers,
        handover: this.operations.handover,
        chat: this.chat,
        log: this.node.log,
      },
      {...defaultLeaveTimes, ...settings.leave},
    );
  }

  /** Starts listening and joins the fleet. */
  static async start(settings: Settings): Promise<GatewayDaemon> {
    const daemon = new GatewayDaemon(settings);
    await daemon.listen();
    daemon.node.start();
    daemon.node.root.spawn({
      name: 'leases',
      restart: RestartPolicy.Always,
      run: signal => daemon.leases.run(signal),
    });
    const load = new LoadReporter(daemon.node.membership, () =>
      daemon.callers.countInProgress(),
    );
    daemon.node.root.spawn({
      name: 'load',
      restart: RestartPolicy.Always,
      run: signal => load.run(signal),
    });
    return daemon;
  }

  /** Leaves gracefully: finishes accepted requests, then stops. */
  stop(): Promise<void> {
    this.stopping ??= this.leave();
    return this.stopping;
  }

  /** Stops without waiting for accepted requests; ends a graceful leave. */
  stopNow(): Promise<void> {
    this.leaving.end();
    return this.stop();
  }

  /** Returns the state of the process and, for a key, the key's record. */
  dump(operationKey?: string): object {
    return {
      ...this.node.dump(),
      leasesHeld: this.leases.countHeld(),
      chat: this.chat.describe(),
      requests: this.callers.describe(),
      limits: this.limits.describe(),
      operations: this.operations.describe(),
      ...(operationKey === undefined
        ? {}
        : {operation: this.operations.describeRecord(operationKey)}),
    };
  }

  private createCallerServer(
    addresses: AddressAnswers,
    services: ServiceDispatcher,
  ): CallerServer {
    const {log, settings} = this.node;
    const reader = new RequestReader({
      getConfiguration: () => this.getConfiguration(),
      log,
    });
    const addressRoute = new AddressRoute(reader, addresses);
    const chatRoute = new ChatRoute(reader, this.chat, this.limits);
    const serviceRoute = new ServiceRoute(
      reader,
      services,
      this.operations.service,
      this.limits,
    );
    return new CallerServer(
      {host: settings.address, port: settings.ports.callers, log},
      {
        addresses: (c, request) => addressRoute.handle(c, request),
        chat: (c, request) => chatRoute.handle(c, request),
        services: (c, request) => serviceRoute.handle(c, request),
      },
    );
  }

  /** Returns the configuration, or undefined while the node isn't ready. */
  private getConfiguration(): Configuration | undefined {
    return this.node.isReady()
      ? this.node.config.getConfiguration()
      : undefined;
  }

  private async leave(): Promise<void> {
    await this.leaving.run();
    await this.node.stop();
    await this.operatorServer?.stop();
  }

  private async listen(): Promise<void> {
    const {settings} = this.node;
    await this.node.startPeerServer(
      createGatewayRouter(this.node.members, this.operations.service),
    );
    this.operatorServer = await OperatorServer.start({
      host: settings.operatorAddress,
      port: settings.ports.gatewayOperators,
      operatorKey: settings.keys.operator,
      actions: {
        dump: operationKey => this.dump(operationKey),
        isReady: () => this.getConfiguration() !== undefined,
        drain: () => void this.stop(),
      },
    });
    await this.callers.start();
  }
}
