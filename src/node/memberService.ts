/** SWIM failure detection and dissemination between members. */
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
const indirectPingerCount = 2;
/**
 * A probe that ends later than this after its deadlines was delayed by this
 * process itself, so its failure says nothing about the peer. Source: Dadgar,
 * Phillips and Currey, "Lifeguard: local health awareness for more accurate
 * failure detection", 2018.
 */
const maxLocalDelayMs = 250;
/** Number of members that a push or an extra round of pings goes to. */
const pushFanout = 3;
/** With at least this many open connections, pushes open no new ones. */
const minOpenLinksForPush = 8;
/** Locally suspected members that are pinged again in each period. */
const suspectReprobesPerPeriod = 2;
/** Items that arrive within this time are sent in one push. */
const pushDelayMs = 5;
/** Least time between pushes, which limits the messages in a burst of items. */
const pushIntervalMs = 100;

/** Receives the configuration head from each ping of a peer. */
export type HeadListener = (head: ConfigHead, peer: Member) => void;

/** Runs the protocol periods of SWIM and handles the calls of other members. */
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
    membership.setUpdateListener(member => this.publishMember(member));
  }

  /** Sets the single listener for configuration heads of peers. */
  setHeadListener(listener: HeadListener): void {
    this.headListener = listener;
  }

  /** Probes one member per period until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    // A random offset keeps members that start together from pinging at the
    // same moments.
    await waitFor(Math.random() * pingIntervalMs, signal);
    while (!signal.aborted) {
      this.probeNext();
      const suspects = shuffle(this.membership.listLocalSuspects());
      for (const suspect of suspects.slice(0, suspectReprobesPerPeriod)) {
        void this.pingAddress(suspect.peerAddress);
      }
      for (const dead of this.membership.expireSuspects()) {
        this.publishMember(dead);
      }
      await waitFor(pingIntervalMs, signal);
    }
    clearTimeout(this.pushTimer);
  }

  /** Publishes an item and, if it is new, schedules a push to a few members. */
  publish(key: string, item: BroadcastItem): void {
    if (!this.broadcaster.publish(key, item)) return;
    this.schedulePush();
  }

  /** Publishes this process's own member record. */
  announceSelf(): void {
    this.publishMember(this.membership.getSelf());
  }

  /** Like `announceSelf`; resolves when the push was answered or has failed. */
  async announceSelfNow(): Promise<void> {
    this.announceSelf();
    await this.push();
  }

  /**
   * Pings an address, whether a member is known there or not, and merges the
   * answer.
   */
  async pingAddress(
    peerAddress: string,
    deadlineMs = pingDeadlineMs,
  ): Promise<Result<PingAnswer, PeerError>> {
    const ping = this.buildPing(this.membership.findLatestAt(peerAddress));
    const result = await this.links.callGateway(
      peerAddress,
      deadlineMs,
      (client, signal) => client.members.ping.mutate(ping, {signal}),
    );
    if (result.isOk()) this.mergePing(result.value);
    return result;
  }

  /** Pings a few members to exchange configuration heads with them at once. */
  async pingSome(): Promise<void> {
    const targets = this.pickRandomMembers(pushFanout);
    await Promise.all(
      targets.map(({peerAddress}) => this.pingAddress(peerAddress)),
    );
  }

  /** Fetches and merges all members that a peer knows and that are not dead. */
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
    // tRPC passes a thrown error on to the requesting member.
    if (result.isErr()) throw result.error;
    return result.value;
  }

  async listMembers(): Promise<Member[]> {
    // Dead members are left out, because members would otherwise learn of them
    // from each other again and never forget them.
    return this.membership.listPresent();
  }

  async fetchChanges(after: number): Promise<ConfigChange[]> {
    return this.config.listChangesAfter(after);
  }

  async fetchDocument(): Promise<ConfigDocument> {
    return this.config.getDocument();
  }

  /**
   * Builds a ping. A receiver that is known as suspect or dead gets that record
   * as the first item, so that it can refute it.
   */
  private buildPing(receiver: Member | undefined): Ping {
    const {number, digest} = this.config.getHead();
    const items = this.broadcaster.takeItems();
    const needsRefutation =
      receiver?.state === MemberState.Suspect ||
      receiver?.state === MemberState.Dead;
    if (needsRefutation) {
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
    const isNew = this.membership.merge(from, {direct: true});
    if (isNew) this.publishMember(from);
    for (const item of ping.items) this.receiveItem(item);
    const head = {number: ping.configNumber, digest: ping.configDigest};
    this.headListener(head, from);
  }

  private receiveItem(item: BroadcastItem): void {
    if (item.kind !== BroadcastKind.Member) {
      this.publish(getItemKey(item), item);
      return;
    }
    // Only new updates are passed on; the membership knows which one is newer.
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
      this.probeOrder = this.pickRandomMembers(Infinity);
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
    // An answer from another process at the address is fine too: the merge has
    // declared this member dead.
    if (direct.isOk()) return;
    if (await this.pingIndirectly(member)) return;
    const elapsedMs = performance.now() - startedAtMs;
    const deadlinesMs = pingDeadlineMs + indirectPingDeadlineMs;
    if (elapsedMs > deadlinesMs + maxLocalDelayMs) return;
    const suspected = this.membership.suspect(member.incarnation);
    if (suspected) this.publishMember(suspected);
  }

  /** Asks other members to ping a member; true when one got its answer. */
  private async pingIndirectly(member: Member): Promise<boolean> {
    const {incarnation, peerAddress} = member;
    const intermediaries = this.pickRandomMembers(
      indirectPingerCount,
      incarnation,
    );
    const answers = await Promise.all(
      intermediaries.map(intermediary =>
        this.links.callGateway(
          intermediary.peerAddress,
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

  /** Picks random present members, except this process and a given one. */
  private pickRandomMembers(count: number, excludedIncarnation = ''): Member[] {
    const self = this.membership.getSelf().incarnation;
    const others = this.membership
      .listPresent()
      .filter(
        ({incarnation}) =>
          incarnation !== self && incarnation !== excludedIncarnation,
      );
    return shuffle(others).slice(0, count);
  }

  /**
   * Picks members with an open connection if there are enough. These were
   * pinged recently and in random order, so they are a random sample of the
   * fleet.
   */
  private pickPushTargets(): Member[] {
    const others = this.pickRandomMembers(Infinity);
    const open = others.filter(({peerAddress}) =>
      this.links.isOpen(peerAddress),
    );
    const candidates = open.length >= minOpenLinksForPush ? open : others;
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
