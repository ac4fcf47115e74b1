/** The dispatcher process, which manages the slots of backend servers. */
import type {Settings} from '../config/settings.js';
import {DaemonNode} from '../node/daemonNode.js';
import {OperatorServer} from '../node/operatorServer.js';
import {PeerServer} from '../node/peerServer.js';
import {RestartPolicy} from '../node/supervisor.js';
import {MemberRole} from '../protocol/memberMessages.js';
import {createDispatcherRouter} from '../protocol/peerRouter.js';
import {EngineClient} from './engineClient.js';
import {BackendServerPoller} from './backendServerPoller.js';
import {LeaseService} from './leaseService.js';

/** Runs the lease service and the engine poller on a node of the fleet. */
export class DispatcherDaemon {
  private peerServer: PeerServer | undefined;
  private operatorServer: OperatorServer | undefined;
  private stopping: Promise<void> | undefined;

  private constructor(
    readonly node: DaemonNode,
    private readonly leases: LeaseService,
    private readonly engines: BackendServerPoller,
  ) {}

  /** Starts listening and joins the fleet. */
  static async start(settings: Settings): Promise<DispatcherDaemon> {
    const node = new DaemonNode(settings, MemberRole.Dispatcher);
    const engineClient = new EngineClient();
    const leases = new LeaseService(node, engineClient);
    const engines = new BackendServerPoller({
      node,
      engines: engineClient,
      listOwned: () => leases.listOwned(),
    });
    const daemon = new DispatcherDaemon(node, leases, engines);
    await daemon.listen();
    node.start();
    node.root.spawn({
      name: 'leases',
      restart: RestartPolicy.Always,
      run: signal => leases.run(signal),
    });
    node.root.spawn({
      name: 'engines',
      restart: RestartPolicy.Always,
      run: signal => engines.run(signal),
    });
    return daemon;
  }

  /** Leaves gracefully: queued requests move to the new owners. */
  stop(): Promise<void> {
    this.stopping ??= this.leave();
    return this.stopping;
  }

  /** State of the process, for the operators' dump. */
  dump(): object {
    return {
      ...this.node.dump(),
      ...this.leases.describe(),
      commands: this.engines.describe(),
    };
  }

  private async leave(): Promise<void> {
    this.node.announceLeaving();
    await new Promise(resolve => setTimeout(resolve, leaveNoticeMs));
    await this.node.stop();
    await this.peerServer?.stop();
    await this.operatorServer?.stop();
  }

  private async listen(): Promise<void> {
    const {settings} = this.node;
    this.peerServer = await PeerServer.start({
      host: settings.address,
      port: settings.ports.dispatcherPeers,
      peerKey: settings.keys.peer,
      router: createDispatcherRouter(this.node.members, this.leases),
    });
    this.operatorServer = await OperatorServer.start({
      host: settings.operatorAddress,
      port: settings.ports.dispatcherOperators,
      operatorKey: settings.keys.operator,
      actions: {
        dump: () => this.dump(),
        isReady: () => this.node.config.getConfiguration() !== undefined,
        drain: () => void this.stop(),
      },
    });
  }
}

/**
 * Time for gateways to learn that this dispatcher is leaving, and to queue
 * their requests elsewhere.
 */
const leaveNoticeMs = 1_000;
