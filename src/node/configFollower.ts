/** Keeps the configuration up to date with the configuration service. */
import {PlatformBusyError, type PlatformError} from '../protocol/errors.js';
import {BroadcastKind, type BroadcastItem} from '../protocol/memberMessages.js';
import type {Broadcaster} from './broadcaster.js';
import type {ConfigCatchUp} from './configCatchUp.js';
import {ApplyResult, type ConfigStore} from './configStore.js';
import {waitFor} from './delay.js';
import type {Log} from './log.js';
import type {MemberService} from './memberService.js';
import type {Membership} from './membership.js';
import type {PlatformClient} from './platformClient.js';
import {sortByWeight} from './rendezvous.js';

/** Number of members in each zone that watch the configuration service. */
const watchersPerZone = 2;
/**
 * Longest wait of one watch call (long poll) in milliseconds. A silent
 * connection is detected 0.5 s after the end of the wait. Up to three groups of
 * members may have to detect a silent connection, one group after another,
 * within the 5 s in which a change must be in force everywhere. The cost is
 * 1.3 calls/s for each zone.
 */
const watchWaitMs = 1_500;
/**
 * Interval of the periodic reads of members that do not watch, as a fallback
 * in case watches and broadcasts miss a change.
 */
const fallbackReadIntervalMs = 30_000;
/** Minimum time between the starts of two calls of the loop. */
const minCallIntervalMs = 250;
/** Wait after a watch that returned a lower number than the one held. */
const staleRetryMs = 1_000;
/**
 * Mean interval between the attempts of all members together while none can
 * reach the service. Each member waits in proportion to the number of members,
 * up to `fallbackReadIntervalMs`.
 */
const fleetProbeIntervalMs = 1_500;
/** Consecutive failures after which other members watch instead. */
const maxConsecutiveFailures = 2;
/**
 * A call that took this long to fail is not retried at once; other members
 * watch instead after this one failure.
 */
const slowFailureMs = 500;
/** How long a process waits for its sources after a start or a pause. */
const readyTimeoutMs = 3_000;

/**
 * Follows the configuration service, and peers that hold a newer number than
 * the service returns.
 */
export class ConfigFollower {
  private readyTimeoutAtMs = performance.now() + readyTimeoutMs;
  private sourcesQueried = false;
  /** Whether the service or a peer has answered since the start. */
  private answered = false;
  private ready = false;
  private failures = 0;
  private wake: (() => void) | undefined;
  private wasWatcher = false;

  constructor(
    private readonly store: ConfigStore,
    private readonly platform: PlatformClient,
    private readonly membership: Membership,
    broadcaster: Broadcaster,
    private readonly members: MemberService,
    private readonly catchUp: ConfigCatchUp,
    private readonly log: Log,
  ) {
    broadcaster.subscribe(item => this.handleItem(item));
    members.setHeadListener((head, peer) => {
      this.answered = true;
      this.catchUp.handlePeerHead(head, peer);
    });
    membership.subscribe(() => this.handleMembershipChange());
  }

  /** Watches while this member is a watcher of its zone; else reads rarely. */
  async run(signal: AbortSignal): Promise<void> {
    this.catchUp.setServiceReader(() => this.readMissing(signal));
    let watchedBefore = false;
    while (!signal.aborted) {
      const startedAtMs = performance.now();
      const watches = this.isWatcher();
      // The first call of a new watcher is a read, which times out sooner.
      const reads = !watches || !watchedBefore;
      const waitMs = reads
        ? await this.readOnce(signal)
        : await this.watchOnce(signal);
      watchedBefore = watches;
      // A successful read can make this member a watcher again, because it
      // clears the unreachable flag.
      const startsWatching = reads && this.failures === 0 && this.isWatcher();
      const elapsedMs = performance.now() - startedAtMs;
      const minWaitMs = minCallIntervalMs - elapsedMs;
      await this.waitForNextCall(
        Math.max(startsWatching ? 0 : waitMs, minWaitMs),
        signal,
      );
    }
  }

  /** Queries the service and, with `contactPeers`, other members once. */
  async querySources(
    contactPeers: () => Promise<void>,
    signal: AbortSignal,
  ): Promise<void> {
    await Promise.all([this.readMissing(signal), contactPeers()]);
    this.sourcesQueried = true;
  }

  /**
   * Returns true once this process holds the highest number that any reachable
   * source has reported, or after 3 s if at least one source has answered.
   */
  isReady(): boolean {
    if (this.ready) return true;
    if (!this.answered || !this.store.getConfiguration()) return false;
    const current = this.sourcesQueried && !this.catchUp.isBehind();
    const late = performance.now() >= this.readyTimeoutAtMs;
    this.ready = current || late;
    return this.ready;
  }

  /**
   * Makes this process unready after it was paused, until peers have been
   * queried and it is up to date, or for at most 3 s.
   */
  async resetReadiness(): Promise<void> {
    this.ready = false;
    this.sourcesQueried = false;
    this.readyTimeoutAtMs = performance.now() + readyTimeoutMs;
    await this.members.pingRandomMembers();
    this.sourcesQueried = true;
  }

  /**
   * Returns true when this member is one of the watchers of its zone. For each
   * member that can't reach the service two more members watch, so that few
   * steps are needed to find one that still can.
   */
  isWatcher(): boolean {
    const self = this.membership.getSelf();
    const inZone = this.membership
      .listPresent()
      .filter(member => member.zone === self.zone);
    const candidates = inZone.filter(member => !member.configUnreachable);
    const watcherCount =
      watchersPerZone * (1 + inZone.length - candidates.length);
    return sortByWeight(
      'config-watch',
      candidates,
      member => member.incarnation,
    )
      .slice(0, watcherCount)
      .some(member => member.incarnation === self.incarnation);
  }

  /** Makes one watch call; returns the wait before the next call. */
  private async watchOnce(signal: AbortSignal): Promise<number> {
    const after = this.store.getHead().number;
    const startedAtMs = performance.now();
    const head = await this.platform.watchHead(after, watchWaitMs, signal);
    if (signal.aborted) return 0;
    if (head.isErr()) return this.recordFailure(head.error, startedAtMs);
    this.recordSuccess();
    if (head.value.number > this.store.getHead().number) {
      return this.readMissing(signal);
    }
    this.store.compareHead(head.value);
    // A service with stale data may answer at once; without a wait this would
    // become a busy loop.
    return head.value.number < after ? staleRetryMs : 0;
  }

  /** Reads once; returns the wait before the next read. */
  private async readOnce(signal: AbortSignal): Promise<number> {
    const waitMs = await this.readMissing(signal);
    if (waitMs > 0 || signal.aborted) return waitMs;
    if (this.store.getHead().number === 0) return minCallIntervalMs;
    // Jitter, so that members that start together don't read together.
    return fallbackReadIntervalMs * (0.5 + Math.random());
  }

  /** Reads missing changes; returns the wait after a failure, or 0. */
  private async readMissing(signal: AbortSignal): Promise<number> {
    const after = this.store.getHead().number;
    if (after === 0) return this.readDocument(signal);
    const startedAtMs = performance.now();
    const read = await this.platform.readChanges(after, signal);
    if (signal.aborted) return 0;
    if (read.isErr()) return this.recordFailure(read.error, startedAtMs);
    this.recordSuccess();
    const {head, changes} = read.value;
    this.catchUp.applyChanges(changes);
    this.store.compareHead(head);
    if (head.number <= this.store.getHead().number) return 0;
    const waitMs = await this.readDocument(signal);
    this.catchUp.raiseTarget(head.number);
    return waitMs;
  }

  private async readDocument(signal: AbortSignal): Promise<number> {
    const startedAtMs = performance.now();
    const document = await this.platform.readDocument(signal);
    if (signal.aborted) return 0;
    if (document.isErr())
      return this.recordFailure(document.error, startedAtMs);
    this.recordSuccess();
    this.catchUp.applyDocument(document.value);
    return 0;
  }

  private recordSuccess(): void {
    this.failures = 0;
    this.answered = true;
    this.markUnreachable(false);
  }

  /** Counts a failed call; returns the wait before the next one. */
  private recordFailure(error: PlatformError, startedAtMs: number): number {
    this.failures += 1;
    if (error instanceof PlatformBusyError) {
      // The service is up, so no other member has to watch instead.
      return error.retryAfterMs * (1 + Math.random());
    }
    const slow = performance.now() - startedAtMs >= slowFailureMs;
    if (!slow && this.failures < maxConsecutiveFailures)
      return minCallIntervalMs;
    if (!this.membership.getSelf().configUnreachable) {
      this.log.warn('could not read from the configuration service', {
        error: error.message,
      });
    }
    this.markUnreachable(true);
    const present = this.membership.listPresent().length;
    const intervalMs = Math.min(
      fleetProbeIntervalMs * present,
      fallbackReadIntervalMs,
    );
    return intervalMs * (0.5 + Math.random());
  }

  private markUnreachable(configUnreachable: boolean): void {
    const before = this.membership.getSelf().configUnreachable ?? false;
    if (before === configUnreachable) return;
    this.membership.updateSelf({configUnreachable});
    this.members.announceSelf();
  }

  /** Waits, but returns early when this member becomes a watcher. */
  private async waitForNextCall(
    ms: number,
    signal: AbortSignal,
  ): Promise<void> {
    const abortController = new AbortController();
    this.wake = () => abortController.abort();
    await waitFor(ms, AbortSignal.any([signal, abortController.signal]));
    this.wake = undefined;
  }

  private handleMembershipChange(): void {
    const isWatcher = this.isWatcher();
    if (isWatcher && !this.wasWatcher) this.wake?.();
    this.wasWatcher = isWatcher;
  }

  private handleItem(item: BroadcastItem): void {
    if (item.kind !== BroadcastKind.ConfigChange) return;
    const result = this.store.applyChange(item.change);
    if (result === ApplyResult.Gap)
      this.catchUp.raiseTarget(item.change.number);
  }
}
