/** Components that the gateway and the dispatcher daemon have in common. */
import type {Settings} from '../config/settings.js';
import {
  MemberRole,
  MemberState,
  type Member,
} from '../protocol/memberMessages.js';
import type {AnyTRPCRouter} from '@trpc/server';
import {Broadcaster} from './broadcaster.js';
import {ConfigCatchUp} from './configCatchUp.js';
import {ConfigFollower} from './configFollower.js';
import {ConfigStore} from './configStore.js';
import {buildPeerAddress, MemberDiscovery} from './memberDiscovery.js';
import {waitFor} from './delay.js';
import {addLogSecret, Log} from './log.js';
import {MemberService} from './memberService.js';
import {createIncarnation, Membership} from './membership.js';
import {BackendServerOwnership} from './ownership.js';
import {PauseDetector} from './pauseDetector.js';
import {PeerLinks} from './peerLinks.js';
import {PeerServer} from './peerServer.js';
import {PlatformClient} from './platformClient.js';
import {RestartPolicy, Supervisor} from './supervisor.js';
import type {Traffic} from './trafficCounter.js';
import {VmListFollower} from './vmListFollower.js';

/** Replacements for tests. */
export interface DaemonNodeOverrides {
  links?: PeerLinks;
  platform?: PlatformClient;
  incarnation?: string;
}

/** Common base of a gateway and a dispatcher as members of the fleet. */
export class DaemonNode {
  readonly log: Log;
  readonly root: Supervisor;
  readonly membership: Membership;
  readonly ownership: BackendServerOwnership;
  readonly broadcaster: Broadcaster;
  readonly config: ConfigStore;
  readonly links: PeerLinks;
  readonly members: MemberService;
  readonly platform: PlatformClient;
  readonly configFollower: ConfigFollower;
  readonly vmListFollower: VmListFollower;
  readonly memberDiscovery: MemberDiscovery;
  readonly pauseDetector: PauseDetector;
  private readonly configCatchUp: ConfigCatchUp;
  private peerServer: PeerServer | undefined;

  constructor(
    readonly settings: Settings,
    readonly role: MemberRole,
    overrides: DaemonNodeOverrides = {},
  ) {
    addLogSecret(settings.keys.peer);
    addLogSecret(settings.keys.operator);
    const self = buildSelf(settings, role, overrides.incarnation);
    this.log = new Log({vm: settings.vm, process: role});
    this.root = new Supervisor(role, this.log);
    this.membership = new Membership(self, this.log);
    this.ownership = new BackendServerOwnership(this.membership);
    this.broadcaster = new Broadcaster(
      () => this.membership.listPresent().length,
    );
    this.config = new ConfigStore(this.log);
    this.links = overrides.links ?? new PeerLinks(settings.keys.peer);
    this.members = new MemberService(
      this.membership,
      this.broadcaster,
      this.config,
      this.links,
    );
    this.platform =
      overrides.platform ??
      new PlatformClient(
        settings.platform.configUrl,
        settings.platform.vmListUrl,
      );
    this.configCatchUp = new ConfigCatchUp(
      this.config,
      this.membership,
      this.members,
      this.links,
    );
    this.configFollower = new ConfigFollower(
      this.config,
      this.platform,
      this.membership,
      this.broadcaster,
      this.members,
      this.configCatchUp,
      this.log,
    );
    this.vmListFollower = new VmListFollower(this.platform, this.membership);
    this.memberDiscovery = new MemberDiscovery(
      this.membership,
      this.members,
      settings.ports,
    );
    this.pauseDetector = new PauseDetector(this.log);
    this.pauseDetector.subscribe(() => this.resumeAfterPause());
  }

  /** Starts to accept peer connections; the dump includes their traffic. */
  async startPeerServer(router: AnyTRPCRouter): Promise<PeerServer> {
    const {address, ports, keys} = this.settings;
    this.peerServer = await PeerServer.start({
      host: address,
      port:
        this.role === MemberRole.Gateway
          ? ports.gatewayPeers
          : ports.dispatcherPeers,
      peerKey: keys.peer,
      router,
    });
    return this.peerServer;
  }

  /**
   * Starts the tasks for membership, discovery, configuration, the VM list and
   * pause detection.
   */
  start(): void {
    const tasks: Record<string, (signal: AbortSignal) => Promise<void>> = {
      configuration: signal => this.runConfiguration(signal),
      vmList: signal => this.vmListFollower.run(signal),
      contacts: signal => this.memberDiscovery.run(signal),
      membership: signal => this.members.run(signal),
      pauseDetector: signal => this.pauseDetector.run(signal),
    };
    for (const [name, run] of Object.entries(tasks)) {
      this.root.spawn({name, restart: RestartPolicy.Always, run});
    }
  }

  /** True once the configuration is known to be the newest reachable one. */
  isReady(): boolean {
    return this.configFollower.isReady();
  }

  /** Resolves when this process is ready, or when the signal aborts. */
  async waitReady(signal: AbortSignal): Promise<void> {
    while (!signal.aborted && !this.isReady()) {
      await waitFor(readyPollIntervalMs, signal);
    }
  }

  /** Announces to the other members that this process is leaving. */
  announceLeaving(): void {
    this.membership.updateSelf({state: MemberState.Leaving});
    this.members.announceSelf();
  }

  /** Announces that this process is dead, then stops all tasks. */
  async stop(): Promise<void> {
    this.membership.updateSelf({state: MemberState.Dead});
    await this.members.announceSelfNow();
    await this.kill();
  }

  /** Stops without an announcement, which looks like a crash to the others. */
  async kill(): Promise<void> {
    this.configCatchUp.stop();
    await this.root.stop();
    this.links.close();
    await this.peerServer?.stop();
  }

  /** Traffic on the connections that this process opened and accepted. */
  describeTraffic(): {opened: Traffic; accepted?: Traffic} {
    return {
      opened: this.links.describeTraffic(),
      accepted: this.peerServer?.describeTraffic(),
    };
  }

  /** Returns the part of the dump that is common to all daemons. */
  dump(): object {
    return {
      self: this.membership.getSelf(),
      members: this.membership.listAll(),
      membershipDigest: this.membership.computeDigest(),
      ready: this.isReady(),
      configuration: this.config.describe(),
      broadcastQueue: this.broadcaster.countQueued(),
      peerTraffic: this.describeTraffic(),
      platformCalls: this.platform.describeCalls(),
      pauses: this.pauseDetector.countPauses(),
      tasks: this.root.describe(),
      memoryBytes: process.memoryUsage().rss,
      cpuMicroseconds: process.cpuUsage(),
      uptimeSeconds: process.uptime(),
    };
  }

  private async runConfiguration(signal: AbortSignal): Promise<void> {
    const contactPeers = async (): Promise<void> => {
      await this.vmListFollower.readOnce(signal);
      await this.memberDiscovery.pingCandidates();
    };
    await this.configFollower.querySources(contactPeers, signal);
    await this.configFollower.run(signal);
  }

  /**
   * Announces this process under a new sequence number, because others may have
   * declared it dead while it was paused, and verifies the configuration
   * number.
   */
  private resumeAfterPause(): void {
    this.membership.updateSelf({});
    this.members.announceSelf();
    void this.configFollower.verifyNumber();
  }
}

const readyPollIntervalMs = 20;

function buildSelf(
  settings: Settings,
  role: MemberRole,
  incarnation = createIncarnation(),
): Member {
  const {address, ports} = settings;
  return {
    incarnation,
    role,
    vm: settings.vm,
    zone: settings.zone,
    peerAddress: buildPeerAddress(address, role, ports),
    ...(role === MemberRole.Gateway
      ? {callerUrl: `http://${address}:${ports.callers}`}
      : {}),
    state: MemberState.Alive,
    sequence: 0,
    load: 0,
  };
}
