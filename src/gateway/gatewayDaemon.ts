/** The gateway process: caller side of an entry VM. */
import type {Settings} from '../config/settings.js';
import {DaemonNode} from '../node/daemonNode.js';
import {OperatorServer} from '../node/operatorServer.js';
import {PeerServer} from '../node/peerServer.js';
import {RestartPolicy} from '../node/supervisor.js';
import {MemberRole} from '../protocol/memberMessages.js';
import {createGatewayRouter} from '../protocol/peerRouter.js';
import {AddressAnswers} from './addressAnswers.js';
import {CallerServer} from './callerServer.js';
import {ChatService} from './chatService.js';
import {PeerDispatcherCalls} from './dispatcherCalls.js';
import {ExpiryClock} from './expiryClock.js';
import {LinkedGatewayPeers} from './gatewayPeers.js';
import {LatencyEstimates} from './latencyEstimates.js';
import {LeaseClient} from './leaseClient.js';
import {PrefixSealer} from './operationPrefix.js';
import {Operations} from './operations.js';
import {ServiceDispatcher} from './serviceDispatcher.js';

/** Time for callers and peers to hear of the leave. */
const leaveNoticeMs = 1_000;

/** Runs the gateway side on top of a member of the fleet. */
export class GatewayDaemon {
  readonly node: DaemonNode;
  private readonly leases: LeaseClient;
  private readonly chat: ChatService;
  private readonly operations: Operations;
  private readonly callers: CallerServer;
  private peerServer: PeerServer | undefined;
  private operatorServer: OperatorServer | undefined;
  private stopping: Promise<void> | undefined;

  private constructor(settings: Settings) {
    this.node = new DaemonNode(settings, MemberRole.Gateway);
    const sealer = new PrefixSealer(settings.keys.peer);
    const latencies = new LatencyEstimates();
    this.leases = new LeaseClient(
      this.node,
      new PeerDispatcherCalls(this.node.links),
      {latencies},
    );
    this.chat = new ChatService(this.leases, {latencies});
    const clock = new ExpiryClock();
    const services = new ServiceDispatcher(this.leases);
    this.operations = new Operations({
      node: this.node,
      sealer,
      clock,
      sender: services,
      peers: new LinkedGatewayPeers(this.node.links),
    });
    this.callers = new CallerServer(this.node, {
      addresses: new AddressAnswers(this.node, sealer, clock),
      chat: this.chat,
      services,
      operations: this.operations.service,
    });
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
    return daemon;
  }

  /** Leaves gracefully: finishes what was accepted, then stops. */
  stop(): Promise<void> {
    this.stopping ??= this.leave();
    return this.stopping;
  }

  /** State of the process. */
  dump(): object {
    return {
      ...this.node.dump(),
      leasesHeld: this.leases.countHeld(),
      chat: this.chat.describe(),
    };
  }

  private async leave(): Promise<void> {
    this.node.announceLeaving();
    await new Promise(resolve => setTimeout(resolve, leaveNoticeMs));
    await this.callers.stop();
    await this.chat.drain();
    await this.node.stop();
    await this.peerServer?.stop();
    await this.operatorServer?.stop();
  }

  private async listen(): Promise<void> {
    const {settings} = this.node;
    this.peerServer = await PeerServer.start({
      host: settings.address,
      port: settings.ports.gatewayPeers,
      peerKey: settings.keys.peer,
      router: createGatewayRouter(this.node.members, this.operations.service),
    });
    this.operatorServer = await OperatorServer.start({
      host: settings.operatorAddress,
      port: settings.ports.gatewayOperators,
      operatorKey: settings.keys.operator,
      actions: {
        dump: () => this.dump(),
        isReady: () => this.node.config.getConfiguration() !== undefined,
        drain: () => void this.stop(),
      },
    });
    await this.callers.start();
  }
}
