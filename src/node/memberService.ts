/** Pings between members: failure detection, broadcast, number exchange. */
import type {Result} from 'neverthrow';
import type {PeerError} from '../protocol/errors.js';
import {
  BroadcastKind,
  MemberRole,
  MemberState,
  type BroadcastItem,
  type Member,
  type Ping,
  type PingAnswer,
} from '../protocol/memberMessages.js';
import type {MemberHandlers} from '../protocol/peerRouter.js';
import type {ConfigChange, ConfigDocument} from '../protocol/platformApi.js';
import type {Broadcaster} from './broadcaster.js';
import type {ConfigStore} from './configStore.js';
import {waitFor} from './delay.js';
import type {Membership} from './membership.js';
import type {PeerLinks} from './peerLinks.js';

export const pingIntervalMs = 1_000;
const pingDeadlineMs = 500;
const indirectPingDeadlineMs = 1_000;
const indirectPingers = 2;
/** Members that a new item is pushed to at once. */
const pushFanout = 3;

/** Tells the configuration follower of a peer with a higher number. */
export type NumberListener = (number: number, peer: Member) => void;

/** Runs the protocol period of SWIM and answers the calls of other members. */
export class MemberService implements MemberHandlers {
  private probeOrder: Member[] = [];
  private pushTimer: NodeJS.Timeout | undefined;
  private numberListener: NumberListener | undefined;

  constructor(
    private readonly membership: Membership,
    private readonly broadcaster: Broadcaster,
    private readonly config: ConfigStore,
    private readonly links: PeerLinks,
  ) {
    broadcaster.subscribe(item => this.handleItem(item));
  }

  /** Sets the listener for higher configuration numbers. */
  setNumberListener(listener: NumberListener): void {
    this.numberListener = listener;
  }

  /** Pings one member a period until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await waitFor(pingIntervalMs, signal);
      if (signal.aborted) return;
      this.probeNext();
      for (const dead of this.membership.expireSuspects()) {
        this.publishMember(dead);
      }
    }
  }

  /** Publishes an item and pushes it to a few members at once. */
  publish(key: string, item: BroadcastItem): void {
    if (!this.broadcaster.publish(key, item)) return;
    this.schedulePush();
  }

  /** Tells others what this process says of itself. */
  announceSelf(): void {
    this.publishMember(this.membership.getSelf());
  }

  /** Pings an address, e.g. one from the VM list, and merges the answer. */
  async pingAddress(
    peerAddress: string,
    deadlineMs = pingDeadlineMs,
  ): Promise<Result<PingAnswer, PeerError>> {
    const result = await this.links.callGateway(
      peerAddress,
      deadlineMs,
      (client, signal) =>
        client.members.ping.mutate(this.buildPing(), {signal}),
    );
    if (result.isOk()) this.mergePing(result.value);
    return result;
  }

  /** Asks a peer for all members that it knows. */
  async fetchMembers(peerAddress: string): Promise<void> {
    const result = await this.links.callGateway(
      peerAddress,
      indirectPingDeadlineMs,
      (client, signal) => client.members.listMembers.query(undefined, {signal}),
    );
    if (result.isErr()) return;
    for (const member of result.value) this.membership.merge(member);
  }

  async handlePing(ping: Ping): Promise<PingAnswer> {
    this.mergePing(ping);
    return this.buildPing();
  }

  async handlePingFor(peerAddress: string): Promise<PingAnswer> {
    const result = await this.pingAddress(peerAddress);
    // A thrown error reaches the asking member as a tRPC error.
    if (result.isErr()) throw result.error;
    return result.value;
  }

  async listMembers(): Promise<Member[]> {
    return this.membership.listAll();
  }

  async fetchChanges(after: number): Promise<ConfigChange[]> {
    return this.config.listChangesAfter(after);
  }

  async fetchDocument(): Promise<ConfigDocument> {
    return this.config.getDocument();
  }

  private buildPing(): Ping {
    const {number, digest} = this.config.getHead();
    return {
      from: this.membership.getSelf(),
      configNumber: number,
      configDigest: digest,
      items: this.broadcaster.takeItems(),
    };
  }

  private mergePing(ping: Ping): void {
    const {from} = ping;
    if (this.membership.merge(from)) this.publishMember(from);
    for (const item of ping.items) {
      if (this.broadcaster.publish(getItemKey(item), item)) this.schedulePush();
    }
    if (ping.configNumber > this.config.getHead().number) {
      this.numberListener?.(ping.configNumber, from);
    }
  }

  private handleItem(item: BroadcastItem): void {
    if (item.kind !== BroadcastKind.Member) return;
    const before = this.membership.getSelf().sequence;
    this.membership.merge(item.member);
    if (this.membership.getSelf().sequence !== before) this.announceSelf();
  }

  private publishMember(member: Member): void {
    this.publish(`member/${member.incarnation}`, {
      kind: BroadcastKind.Member,
      member: {...member, load: 0},
    });
  }

  private probeNext(): void {
    const self = this.membership.getSelf().incarnation;
    if (this.probeOrder.length === 0) {
      const others = this.membership
        .listPresent()
        .filter(member => member.incarnation !== self);
      this.probeOrder = shuffle(others);
    }
    const next = this.probeOrder.pop();
    if (!next) return;
    const current = this.membership.find(next.incarnation);
    if (!current || current.state === MemberState.Dead) return;
    void this.probe(current);
  }

  private async probe(member: Member): Promise<void> {
    const direct = await this.pingAddress(member.peerAddress);
    if (direct.isOk()) return;
    const helpers = shuffle(this.membership.listServing(MemberRole.Gateway))
      .filter(
        helper =>
          helper.incarnation !== member.incarnation &&
          helper.incarnation !== this.membership.getSelf().incarnation,
      )
      .slice(0, indirectPingers);
    const answers = await Promise.all(
      helpers.map(helper =>
        this.links.callGateway(
          helper.peerAddress,
          indirectPingDeadlineMs,
          (client, signal) =>
            client.members.pingFor.mutate(
              {peerAddress: member.peerAddress},
              {signal},
            ),
        ),
      ),
    );
    const reached = answers.some(
      answer =>
        answer.isOk() && answer.value.from.incarnation === member.incarnation,
    );
    if (reached) return;
    const suspected = this.membership.suspect(member.incarnation);
    if (suspected) this.publishMember(suspected);
  }

  private schedulePush(): void {
    if (this.pushTimer) return;
    // Items published in the same turn of the event loop travel together.
    this.pushTimer = setTimeout(() => {
      this.pushTimer = undefined;
      const self = this.membership.getSelf().incarnation;
      const targets = shuffle(this.membership.listPresent())
        .filter(member => member.incarnation !== self)
        .slice(0, pushFanout);
      for (const target of targets) void this.pingAddress(target.peerAddress);
    }, 1);
  }
}

/** Key under which a newer item replaces an older one. */
export function getItemKey(item: BroadcastItem): string {
  switch (item.kind) {
    case BroadcastKind.Member:
      return `member/${item.member.incarnation}`;
    case BroadcastKind.ConfigChange:
      return `config/${item.change.number}`;
    case BroadcastKind.SuspectMarks:
      return `suspects/${item.marks[0]?.crashId ?? ''}`;
    case BroadcastKind.BackendServerHealth:
      return `health/${item.backendServer}`;
    case BroadcastKind.PrefixAuthority:
      return `authority/${item.issuer}`;
  }
}

function shuffle<T>(items: readonly T[]): T[] {
  const result = [...items];
  for (let i = result.length - 1; i > 0; i--) {
    const j = Math.floor(Math.random() * (i + 1));
    [result[i], result[j]] = [result[j], result[i]];
  }
  return result;
}
