/** Keeps the configuration at the newest number that can be reached. */
import {
  BroadcastKind,
  type BroadcastItem,
  type Member,
} from '../protocol/memberMessages.js';
import type {ConfigChange} from '../protocol/platformApi.js';
import type {Broadcaster} from './broadcaster.js';
import {ApplyResult, type ConfigStore} from './configStore.js';
import {waitFor} from './delay.js';
import type {Log} from './log.js';
import type {MemberService} from './memberService.js';
import type {Membership} from './membership.js';
import type {PeerLinks} from './peerLinks.js';
import type {PlatformClient} from './platformClient.js';
import {sortByWeight} from './rendezvous.js';

/** Members in each zone that hold a watch on the configuration service. */
const watchersPerZone = 2;
/** Longest wait of one watch call in milliseconds. */
const watchWaitMs = 20_000;
/** Interval of the reads that back the watches up. */
const backstopIntervalMs = 30_000;
/** Interval of attempts before the first document is held. */
const startRetryMs = 250;
const peerFetchDeadlineMs = 1_000;

/** Follows the configuration service, and peers that are ahead of it. */
export class ConfigFollower {
  private catchingUp: Promise<void> | undefined;

  constructor(
    private readonly store: ConfigStore,
    private readonly platform: PlatformClient,
    private readonly membership: Membership,
    broadcaster: Broadcaster,
    private readonly members: MemberService,
    private readonly links: PeerLinks,
    private readonly log: Log,
  ) {
    broadcaster.subscribe(item => this.handleItem(item));
    members.setNumberListener((_number, peer) => void this.fetchFrom(peer));
  }

  /** Watches when chosen as one of the zone's watchers, else reads rarely. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const startedAtMs = performance.now();
      if (this.isWatcher()) {
        const after = this.store.getHead().number;
        const head = await this.platform.watchHead(after, watchWaitMs, signal);
        if (head.isOk() && head.value.number > after) {
          await this.readMissingOnce(signal);
          continue;
        }
        if (head.isOk()) continue;
        await waitFor(startRetryMs * 4, signal);
        continue;
      }
      await this.readMissingOnce(signal);
      const intervalMs =
        this.store.getHead().number === 0 ? startRetryMs : backstopIntervalMs;
      // Spread over the interval, so that restarts together don't read together.
      const jitteredMs = intervalMs * (0.5 + Math.random());
      const elapsedMs = performance.now() - startedAtMs;
      await waitFor(Math.max(0, jitteredMs - elapsedMs), signal);
    }
  }

  /** Reads what is missing from the configuration service. */
  async readMissingOnce(signal: AbortSignal): Promise<void> {
    this.catchingUp ??= this.readMissing(signal).finally(() => {
      this.catchingUp = undefined;
    });
    await this.catchingUp;
  }

  /** Fetches what is missing from a peer that is ahead. */
  async fetchFrom(peer: Member): Promise<void> {
    const after = this.store.getHead().number;
    const changes = await this.links.callGateway(
      peer.peerAddress,
      peerFetchDeadlineMs,
      (client, signal) => client.members.fetchChanges.query({after}, {signal}),
    );
    if (changes.isOk() && this.applyChanges(changes.value)) return;
    const document = await this.links.callGateway(
      peer.peerAddress,
      peerFetchDeadlineMs,
      (client, signal) =>
        client.members.fetchDocument.query(undefined, {signal}),
    );
    if (document.isOk()) this.store.applyDocument(document.value);
  }

  /** True when this member is one of those that watch for its zone. */
  isWatcher(): boolean {
    const self = this.membership.getSelf();
    const inZone = this.membership
      .listPresent()
      .filter(member => member.zone === self.zone);
    return sortByWeight('config-watch', inZone, member => member.incarnation)
      .slice(0, watchersPerZone)
      .some(member => member.incarnation === self.incarnation);
  }

  private async readMissing(signal: AbortSignal): Promise<void> {
    const after = this.store.getHead().number;
    const read = await this.platform.readChanges(after, signal);
    if (read.isErr()) {
      this.log.warn('configuration service could not be read', {
        error: read.error.message,
      });
      return;
    }
    if (read.value.head.number <= after) return;
    if (this.applyChanges(read.value.changes)) return;
    const document = await this.platform.readDocument(signal);
    if (document.isOk()) this.store.applyDocument(document.value);
  }

  /** Applies changes in order; false when there was none, or a gap. */
  private applyChanges(changes: readonly ConfigChange[]): boolean {
    let applied = false;
    for (const change of changes) {
      const result = this.store.applyChange(change);
      if (result === ApplyResult.Gap) return false;
      if (result !== ApplyResult.Applied) continue;
      applied = true;
      this.members.publish(`config/${change.number}`, {
        kind: BroadcastKind.ConfigChange,
        change,
      });
    }
    return applied;
  }

  private handleItem(item: BroadcastItem): void {
    if (item.kind !== BroadcastKind.ConfigChange) return;
    this.store.applyChange(item.change);
  }
}
