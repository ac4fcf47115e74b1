/**
 * Follows the state that the platform publishes. One router of the fleet reads
 * it, and the others learn of changes from that router. If they don't hear of a
 * read in time, the next router in order takes over.
 */
import type {Evacuations} from '../evacuation/evacuations.js';
import {waitFor} from '../node/delay.js';
import type {Log} from '../node/log.js';
import type {PlatformError} from '../protocol/errors.js';
import type {PublishedPosition} from '../protocol/publishedPosition.js';
import type {DeploymentStore} from './deploymentStore.js';
import {
  HistoryLostError,
  type DeploymentChange,
  type PublishedStateReader,
} from './publishedState.js';
import {computeRetryDelayMs, computeTakeoverAgeMs} from './readOrder.js';
import type {ServerDirectory} from './serverDirectory.js';

/**
 * Interval between reads of the servers, as a ratio of `leaveBoundMs`. If the
 * reading router is cut off, the others get no update for one interval, plus the
 * delay of the next reader and the propagation time of its report.
 */
const readIntervalRatio = 0.4;
/**
 * Wait of one watch of the deployment and the evacuations, as a ratio of the
 * shorter of `contactBoundMs` and `evacuationBoundMs`. A dead
 * connection hides a new deployment for this wait, the time-out after it and
 * perhaps one failed read. Then it still has to reach the other routers.
 */
const watchWaitRatio = 0.35;
/** Backoff after a failed call, in milliseconds; doubles up to the maximum. */
const initialRetryMs = 150;
const maxRetryMs = 1_000;
/** Delay between the first reads of successive seeds, in milliseconds. */
const seedStaggerMs = 150;
/**
 * On the first start of a fleet, a router that isn't a seed reads after this
 * time, in milliseconds, unless it has received the state from another router.
 */
const startDelayMs = 450;
/** Upper bound of the random addition to `startDelayMs`, in milliseconds. */
const startJitterMs = 300;
/** Interval of the check whether this router is the reader, in milliseconds. */
const readerPollMs = 250;
/** Shortest wait before the next check whether to read, in milliseconds. */
const minReadWaitMs = 5;

export interface StateFollowerOptions {
  readonly reader: PublishedStateReader;
  readonly deployments: DeploymentStore;
  readonly servers: ServerDirectory;
  readonly evacuations: Evacuations;
  readonly log: Log;
  /** Position of this router in the order in which routers read. */
  readonly getReadRank: () => number;
  /** True if the whole fleet starts for the first time and has no callers. */
  readonly isFirstStart: boolean;
  /** Index among the seeds; -1 for other routers. */
  readonly seedIndex: number;
  /**
   * Time within which all routers stop sending requests to a leaving backend
   * server, in milliseconds.
   */
  readonly leaveBoundMs: number;
  /**
   * Time within which a router must be up to date again after it was cut off,
   * in milliseconds.
   */
  readonly contactBoundMs: number;
  /**
   * Time within which all routers stop sending requests to an evacuated zone, in
   * milliseconds; undefined where none is stated.
   */
  readonly evacuationBoundMs?: number;
  /** Notifies peers of newer state. */
  readonly announce: () => void;
}

/** Keeps deployment and servers up to date. */
export class StateFollower {
  private isReachable: boolean | undefined;
  private readonly readIntervalMs: number;
  private readonly firstReadAtMs: number;
  /**
   * Time of the last own read; undefined while another router is the reader.
   */
  private readAtMs: number | undefined;
  /** Start of the last own read that was answered. */
  private readStartedAtMs = -Infinity;

  constructor(private readonly options: StateFollowerOptions) {
    const {leaveBoundMs} = options;
    this.readIntervalMs = leaveBoundMs * readIntervalRatio;
    this.firstReadAtMs = performance.now() + computeStartDelayMs(options);
  }

  /** Reads the servers whenever a read is due, until the signal aborts. */
  async runServers(signal: AbortSignal): Promise<void> {
    const {servers, reader, announce, log, getReadRank} = this.options;
    let retryMs = initialRetryMs;
    while (!signal.aborted) {
      const waitMs = this.computeReadWaitMs();
      if (waitMs > 0) {
        await waitFor(Math.max(minReadWaitMs, waitMs), signal);
        continue;
      }
      await this.readFirstDeployment(signal);
      const startedAtMs = performance.now();
      const read = await reader.readServers(signal);
      if (read.isErr()) {
        this.readAtMs = undefined;
        this.recordFailure(read.error, signal);
        const delayMs = Math.max(retryMs, computeRetryDelayMs(getReadRank()));
        await waitFor(delayMs * (0.75 + Math.random() / 2), signal);
        retryMs = Math.min(maxRetryMs, retryMs * 2);
        continue;
      }
      retryMs = initialRetryMs;
      this.recordSuccess();
      this.readAtMs = performance.now();
      this.readStartedAtMs = startedAtMs;
      if (servers.apply(read.value, this.readAtMs - startedAtMs)) {
        const {epoch, revision} = read.value;
        const count = read.value.servers.length;
        log.logInfo('server view read', {epoch, revision, servers: count});
      }
      announce();
    }
  }

  /**
   * Reads and watches the deployment while this router is the reader, until the
   * signal aborts.
   */
  async runDeployments(signal: AbortSignal): Promise<void> {
    const {reader, contactBoundMs, log} = this.options;
    const {evacuationBoundMs = Infinity} = this.options;
    const boundMs = Math.min(contactBoundMs, evacuationBoundMs);
    const watchWaitMs = Math.round(boundMs * watchWaitRatio);
    let position: PublishedPosition | undefined;
    let retryMs = initialRetryMs;
    let historyLostAtMs = -Infinity;
    while (!signal.aborted) {
      if (!this.isReader()) {
        position = undefined;
        await waitFor(readerPollMs, signal);
        continue;
      }
      const call =
        position === undefined
          ? reader.readDeployment(signal)
          : reader.watchDeployment(position.revision, watchWaitMs, signal);
      const startedAtMs = performance.now();
      const change = await call;
      if (change.isOk()) {
        retryMs = initialRetryMs;
        this.adopt(change.value);
        const isDeploymentMissing = this.options.deployments.version === 0;
        // The first deployment may be published after the router has started.
        if (isDeploymentMissing) await waitFor(initialRetryMs, signal);
        // A watch that continues from a revision of another epoch misses changes.
        const {epoch} = position ?? change.value;
        const canContinue =
          !isDeploymentMissing && epoch === change.value.epoch;
        position = canContinue ? change.value : undefined;
        continue;
      }
      if (!signal.aborted) {
        log.warn('deployment not read', {
          isWatch: position !== undefined,
          ms: Math.round(performance.now() - startedAtMs),
          error: change.error.message,
        });
      }
      // Read before the next watch, so that no change is missed.
      position = undefined;
      if (change.error instanceof HistoryLostError) {
        const sinceMs = performance.now() - historyLostAtMs;
        historyLostAtMs = performance.now();
        if (sinceMs > maxRetryMs) continue;
      } else {
        this.recordFailure(change.error, signal);
      }
      await waitFor(retryMs * (0.75 + Math.random() / 2), signal);
      retryMs = Math.min(maxRetryMs, retryMs * 2);
    }
  }

  /**
   * Reads the deployment before the first read of the servers. Peers with the
   * same servers take over the age of that read. One with an outdated
   * deployment would then look up to date, and this router would adopt that
   * deployment.
   */
  private async readFirstDeployment(signal: AbortSignal): Promise<void> {
    const {reader, deployments, evacuations} = this.options;
    if (deployments.version > 0 && evacuations.position) return;
    const read = await reader.readDeployment(signal);
    read.match(
      change => this.adopt(change),
      error => this.recordFailure(error, signal),
    );
  }

  /**
   * Time until the next read; reads by another router postpone it. A read that
   * was answered is not repeated sooner than after an interval, even if the
   * answer turned out to be outdated.
   */
  private computeReadWaitMs(): number {
    const sinceMs = performance.now() - this.readStartedAtMs;
    return Math.max(this.computeDueMs(), this.readIntervalMs - sinceMs);
  }

  private computeDueMs(): number {
    const {servers, getReadRank} = this.options;
    const nowMs = performance.now();
    const ageMs = servers.measureAgeMs();
    if (ageMs === Infinity) return this.firstReadAtMs - nowMs;
    if (this.isReader()) return this.readIntervalMs - ageMs;
    this.readAtMs = undefined;
    const {leaveBoundMs} = this.options;
    const rank = getReadRank();
    return (
      computeTakeoverAgeMs(rank, this.readIntervalMs, leaveBoundMs) - ageMs
    );
  }

  /**
   * True from an own read until another router reads later. Of two routers that
   * both read, the first in the read order remains the reader.
   */
  private isReader(): boolean {
    const {servers, getReadRank} = this.options;
    if (this.readAtMs === undefined) return false;
    const freshAtMs = performance.now() - servers.measureAgeMs();
    return freshAtMs <= this.readAtMs || getReadRank() === 0;
  }

  private adopt(change: DeploymentChange): void {
    this.recordSuccess();
    const {deployments, evacuations, announce} = this.options;
    if (evacuations.apply(change, 'platform')) announce();
    const {published} = change;
    if (!published) return;
    if (deployments.adopt(published, 'platform')) announce();
  }

  private recordSuccess(): void {
    if (this.isReachable === true) return;
    this.isReachable = true;
    this.options.log.logInfo('platform reachable');
  }

  private recordFailure(error: PlatformError, signal: AbortSignal): void {
    if (signal.aborted || this.isReachable === false) return;
    this.isReachable = false;
    this.options.log.warn('platform not reachable', {error: error.message});
  }
}

/**
 * A fleet that starts for the first time has no callers yet, so its routers can
 * wait for each other. After a restart callers are waiting, so there is no
 * delay.
 */
function computeStartDelayMs({
  isFirstStart,
  seedIndex,
}: StateFollowerOptions): number {
  if (!isFirstStart) return 0;
  return seedIndex >= 0
    ? seedIndex * seedStaggerMs
    : startDelayMs + Math.random() * startJitterMs;
}
