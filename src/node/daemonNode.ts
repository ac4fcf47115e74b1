/** The parts that both kinds of daemons have in common. */
import type {Settings} from '../config/settings.js';
import {
  MemberRole,
  MemberState,
  type Member,
} from '../protocol/memberMessages.js';
import {Broadcaster} from './broadcaster.js';
import {ConfigFollower} from './configFollower.js';
import {ConfigStore} from './configStore.js';
import {Log} from './log.js';
import {MemberService} from './memberService.js';
import {createIncarnation, Membership} from './membership.js';
import {BackendServerOwnership} from './ownership.js';
import {PeerLinks} from './peerLinks.js';
import {PlatformClient} from './platformClient.js';
import {RestartPolicy, Supervisor} from './supervisor.js';
import {buildPeerAddress, VmListFollower} from './vmListFollower.js';

/** A member of the fleet, before its gateway or dispatcher side is added. */
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

  constructor(
    readonly settings: Settings,
    readonly role: MemberRole,
  ) {
    const self = buildSelf(settings, role);
    this.log = new Log({vm: settings.vm, process: role});
    this.root = new Supervisor(role, this.log);
    this.membership = new Membership(self, this.log);
    this.ownership = new BackendServerOwnership(this.membership);
    this.broadcaster = new Broadcaster(
      () => this.membership.listPresent().length,
    );
    this.config = new ConfigStore(this.log);
    this.links = new PeerLinks(settings.keys.peer);
    this.members = new MemberService(
      this.membership,
      this.broadcaster,
      this.config,
      this.links,
    );
    this.platform = new PlatformClient(
      settings.platform.configUrl,
      settings.platform.vmListUrl,
    );
    this.configFollower = new ConfigFollower(
      this.config,
      this.platform,
      this.membership,
      this.broadcaster,
      this.members,
      this.links,
      this.log,
    );
    this.vmListFollower = new VmListFollower(
      this.platform,
      this.membership,
      this.members,
      settings.ports,
    );
  }

  /** Starts membership, configuration and the VM list. */
  start(): void {
    const {root} = this;
    root.spawn({
      name: 'vmList',
      restart: RestartPolicy.Always,
      run: signal => this.vmListFollower.run(signal),
    });
    root.spawn({
      name: 'configuration',
      restart: RestartPolicy.Always,
      run: signal => this.configFollower.run(signal),
    });
    root.spawn({
      name: 'membership',
      restart: RestartPolicy.Always,
      run: signal => this.members.run(signal),
    });
  }

  /** Tells the others that this process is leaving. */
  announceLeaving(): void {
    this.membership.updateSelf({state: MemberState.Leaving});
    this.members.announceSelf();
  }

  /** Tells the others that this process is gone, and stops all tasks. */
  async stop(): Promise<void> {
    this.membership.updateSelf({state: MemberState.Dead});
    this.members.announceSelf();
    await new Promise(resolve => setTimeout(resolve, farewellMs));
    await this.root.stop();
    this.links.close();
  }

  /** State that all daemons dump. */
  dump(): object {
    return {
      self: this.membership.getSelf(),
      members: this.membership.listAll(),
      configuration: this.config.describe(),
      broadcastQueue: this.broadcaster.countQueued(),
      tasks: this.root.describe(),
      memoryBytes: process.memoryUsage().rss,
      cpuMicroseconds: process.cpuUsage(),
      uptimeSeconds: process.uptime(),
    };
  }
}

/** Time for the last broadcast to leave, in milliseconds. */
const farewellMs = 50;

function buildSelf(settings: Settings, role: MemberRole): Member {
  const {address, ports} = settings;
  return {
    incarnation: createIncarnation(),
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
