/** Failure detection and dissemination between members. */
import type {Result} from 'neverthrow';
import type {PeerError} from '../protocol/errors.js';
import {
  BroadcastKind,
  MemberState,
  type BroadcastItem,
  type Member,
  type Ping,
  type PingAnswer,
  type Push,
} from '../protocol/memberMessages.js';
import type {MemberHandlers} from '../protocol/peerRouter.js';
import type {
  ConfigChange,
  ConfigDocument,
  ConfigHead,
} from '../protocol/platformApi.js';
import {getItemKey} from './broadcastItems.js';
import type {Broadcaster} from './broadcaster.js';
import type {ConfigStore} from './configStore.js';
import {waitFor} from './delay.js';
import type {Membership} from './membership.js';
import type {PeerLinks} from './peerLinks.js';
import {shuffle} from './shuffle.js';

export const pingIntervalMs = 1_000;
const pingDeadlineMs = 500;
const indirectPingDeadlineMs = 1_000;
const indirectPingers = 2;
/**
 * A probe that ends this much after its deadlines was held up by this process
 * itself, so it says nothing about the peer. Source: Dadgar, Phillips and
 * Currey, "Lifeguard: local health awareness for more accurate failure
 * detection", 2018.
 */
const maxOwnDelayMs = 250;
/** Members that a new item is pushed to at once. */
const pushFanout = 3;
/** With so many open connections, pushes open no new ones. */
const enoughOpenLinks = 8;
/** Own suspicions that are checked again in each period. */
const repeatedProbes = 2;
/** Items that arrive within this time travel in one push. */
const pushDelayMs = 5;
/** Least time between pushes, so that many items don't become many messages. */
const pushIntervalMs = 100;

/** Gets the configuration head that a peer has shown. */
export type HeadListener = (head: ConfigHead, peer: Member) => void;

/** Runs the protocol period of SWIM and answers the calls of other members. */
export class MemberService implements MemberHandlers {
  private probeOrder: Member[] = [];
  private pushTimer: NodeJS.Timeout | undefined;
  private lastPushAtMs = -Infinity;
  private headListener: HeadListener = () => {};

  constructor(
    private readonly membership: Membership,
    private readonly broadcaster: Broadcaster,
    private readonly config: ConfigStore,
    private readonly links: PeerLinks,
  ) {
    membership.setStatementListener(member => this.publishMember(member));
  }

  /** Sets the listener for the configuration heads that peers show. */
  setHeadListener(listener: HeadListener): void {
    this.headListener = listener;
  }

  /** Pings one member a period until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    // Spread over the period, so that members started together don't ping
    // together.
    await waitFor(Math.random() * pingIntervalMs, signal);
    while (!signal.aborted) {
      this.probeNext();
      const suspects = shuffle(this.membership.listSuspectedHere());
      for (const suspect of suspects.slice(0, repeatedProbes)) {
        void this.pingAddress(suspect.peerAddress);
      }
      for (const dead of this.membership.expireSuspects()) {
        this.publishMember(dead);
      }
      await waitFor(pingIntervalMs, signal);
    }
    clearTimeout(this.pushTimer);
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

  /** Tells a few members at once, and resolves when they know. */
  async announceSelfNow(): Promise<void> {
    this.announceSelf();
    await this.push();
  }

  /** Pings an address, e.g. one from the VM list, and merges the answer. */
  async pingAddress(
    peerAddress: string,
    deadlineMs = pingDeadlineMs,
  ): Promise<Result<PingAnswer, PeerError>> {
    const ping = this.buildPing(this.membership.findLastAt(peerAddress));
    const result = await this.links.callGateway(
      peerAddress,
      deadlineMs,
      (client, signal) => client.members.ping.mutate(ping, {signal}),
    );
    if (result.isOk()) this.mergePing(result.value);
    return result;
  }

  /** Pings a few members, so that both sides learn the other's head at once. */
  async pingSome(): Promise<void> {
    const targets = this.pickOthers(pushFanout);
    await Promise.all(
      targets.map(({peerAddress}) => this.pingAddress(peerAddress)),
    );
  }

  /** Asks a peer for all members that it knows and that may be alive. */
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
    return this.buildPing(this.membership.find(ping.from.incarnation));
  }

  async handlePush(push: Push): Promise<void> {
    for (const item of push.items) this.receiveItem(item);
  }

  async handlePingFor(peerAddress: string): Promise<PingAnswer> {
    const result = await this.pingAddress(peerAddress);
    // A thrown error reaches the asking member as a tRPC error.
    if (result.isErr()) throw result.error;
    return result.value;
  }

  async listMembers(): Promise<Member[]> {
    // Without the dead, or members would remind each other of them for ever.
    return this.membership.listPresent();
  }

  async fetchChanges(after: number): Promise<ConfigChange[]> {
    return this.config.listChangesAfter(after);
  }

  async fetchDocument(): Promise<ConfigDocument> {
    return this.config.getDocument();
  }

  /** A ping tells its receiver when it is thought to be suspect or dead. */
  private buildPing(receiver: Member | undefined): Ping {
    const {number, digest} = this.config.getHead();
    const items = this.broadcaster.takeItems();
    const doubted =
      receiver?.state === MemberState.Suspect ||
      receiver?.state === MemberState.Dead;
    if (doubted) {
      items.unshift({kind: BroadcastKind.Member, member: receiver});
    }
    return {
      from: this.membership.getSelf(),
      configNumber: number,
      configDigest: digest,
      items,
    };
  }

  private mergePing(ping: Ping): void {
    const {from} = ping;
    const news = this.membership.merge(from, {direct: true});
    if (news) this.publishMember(from);
    for (const item of ping.items) this.receiveItem(item);
    const head = {number: ping.configNumber, digest: ping.configDigest};
    this.headListener(head, from);
  }

  private receiveItem(item: BroadcastItem): void {
    if (item.kind !== BroadcastKind.Member) {
      this.publish(getItemKey(item), item);
      return;
    }
    // Only news is spread; the membership knows which statement is newer.
    if (this.membership.merge(item.member)) this.publishMember(item.member);
  }

  private publishMember(member: Member): void {
    this.publish(`member/${member.incarnation}`, {
      kind: BroadcastKind.Member,
      member,
    });
  }

  private probeNext(): void {
    if (this.probeOrder.length === 0) {
      this.probeOrder = this.pickOthers(Infinity);
    }
    const next = this.probeOrder.pop();
    if (!next) return;
    const current = this.membership.find(next.incarnation);
    if (!current || current.state === MemberState.Dead) return;
    void this.probe(current);
  }

  private async probe(member: Member): Promise<void> {
    const startedAtMs = performance.now();
    const direct = await this.pingAddress(member.peerAddress);
    // An answer of another process at the address has replaced the member.
    if (direct.isOk()) return;
    if (await this.pingIndirectly(member)) return;
    const elapsedMs = performance.now() - startedAtMs;
    const deadlinesMs = pingDeadlineMs + indirectPingDeadlineMs;
    if (elapsedMs > deadlinesMs + maxOwnDelayMs) return;
    const suspected = this.membership.suspect(member.incarnation);
    if (suspected) this.publishMember(suspected);
  }

  /** Has other members ping a member; true when one of them got an answer. */
  private async pingIndirectly(member: Member): Promise<boolean> {
    const {incarnation, peerAddress} = member;
    const helpers = this.pickOthers(indirectPingers, incarnation);
    const answers = await Promise.all(
      helpers.map(helper =>
        this.links.callGateway(
          helper.peerAddress,
          indirectPingDeadlineMs,
          (client, signal) =>
            client.members.pingFor.mutate({peerAddress}, {signal}),
        ),
      ),
    );
    return answers.some(
      answer => answer.isOk() && answer.value.from.incarnation === incarnation,
    );
  }

  /** Picks present members at random, without this process and one more. */
  private pickOthers(count: number, without = ''): Member[] {
    const self = this.membership.getSelf().incarnation;
    const others = this.membership
      .listPresent()
      .filter(
        ({incarnation}) => incarnation !== self && incarnation !== without,
      );
    return shuffle(others).slice(0, count);
  }

  /**
   * Members with an open connection, which are those pinged lately. The order
   * of pings is random, so these are a random part of the fleet too.
   */
  private pickPushTargets(): Member[] {
    const others = this.pickOthers(Infinity);
    const open = others.filter(({peerAddress}) =>
      this.links.isOpen(peerAddress),
    );
    const candidates = open.length >= enoughOpenLinks ? open : others;
    return candidates.slice(0, pushFanout);
  }

  private schedulePush(): void {
    const nextAtMs = this.lastPushAtMs + pushIntervalMs;
    const delayMs = Math.max(pushDelayMs, nextAtMs - performance.now());
    this.pushTimer ??= setTimeout(() => void this.push(), delayMs);
  }

  private async push(): Promise<void> {
    clearTimeout(this.pushTimer);
    this.pushTimer = undefined;
    this.lastPushAtMs = performance.now();
    const from = this.membership.getSelf().incarnation;
    const pushes = this.pickPushTargets().map(({peerAddress}) => {
      const push = {from, items: this.broadcaster.takeItems()};
      if (push.items.length === 0) return undefined;
      return this.links.callGateway(
        peerAddress,
        pingDeadlineMs,
        (client, signal) => client.members.push.mutate(push, {signal}),
      );
    });
    await Promise.all(pushes);
  }
}
