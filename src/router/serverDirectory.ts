/** Directory of the backend servers that may be sent requests. */
import {h32} from '../node/hashFunctions.js';
import {
  isBefore,
  type PublishedPosition,
} from '../protocol/publishedPosition.js';
import {computeCompactKey} from './compactKey.js';
import {formatProcess, ServerState, type BackendServer} from './deployment.js';
import type {PublishedServers} from './publishedState.js';

/**
 * A gap between views longer than this counts as an outage of the platform, in
 * milliseconds. Registrations expire after three heartbeats of about 1.2 s.
 */
const outageThresholdMs = 2_500;
/**
 * Servers whose registrations expired during an outage register again within
 * about 2 s after its end. Those still missing after this time, in
 * milliseconds, have left.
 */
const reregistrationPeriodMs = 2_300;

/**
 * Time after a restore of the platform in which servers that had left may still
 * be listed by the old copy, in milliseconds: three heartbeats until a
 * registration expires, and the time in which live servers register again.
 */
const restoredPeriodMs = 6_000;
/** Old copies are some seconds old; a departure is remembered this long. */
const departureRetentionMs = 120_000;

/** All registered backend servers at one position. */
export type ServerView = PublishedServers;

/**
 * A peer's view must have been read at least this much later to count as
 * fresher, in milliseconds. Smaller differences come from the transmission time
 * of reports and would add up while two routers report the same read to each
 * other.
 */
const minFreshnessGainMs = 200;

/** @param ageMs - time since the read */
export type ServerReadListener = (
  servers: readonly BackendServer[],
  ageMs: number,
) => void;

/** Most removed processes remembered; the platform drops them in seconds. */
const maxRemovedProcesses = 20_000;

/** Keeps the latest view and its age. */
export class ServerDirectory {
  private view: ServerView = {servers: [], epoch: 0, revision: 0};
  private viewDigest = 0;
  private freshAtMs = -Infinity;
  private reregistrationEndsAtMs = -Infinity;
  private restoredUntilMs = -Infinity;
  /**
   * True while servers are kept that are missing from the view, or not used
   * although it lists them.
   */
  private hasExceptions = false;
  /** Times at which processes were seen to leave, by compact key. */
  private readonly departedAtMs = new Map<number, number>();
  private readonly usable = new Map<string, BackendServer>();
  private usableByKey = new Map<number, BackendServer>();
  /** Compact keys of processes that are no longer used, oldest first. */
  private readonly removedProcesses = new Set<number>();
  private usableByService = new Map<string, BackendServer[]>();
  private readonly readListeners: ServerReadListener[] = [];

  /** Position of the newest view that was read. */
  get position(): PublishedPosition {
    const {epoch, revision} = this.view;
    return {epoch, revision};
  }

  /**
   * Changes with the servers and their states, not with their heartbeats. Where
   * reads are watched, it also changes when a server becomes warm or cold.
   */
  get digest(): number {
    return this.viewDigest;
  }

  /** Adds a listener that is called with each newer view. */
  watchReads(listener: ServerReadListener): void {
    this.readListeners.push(listener);
  }

  /** Milliseconds since the last read; Infinity before the first one. */
  measureAgeMs(): number {
    return performance.now() - this.freshAtMs;
  }

  /** The published servers, for peers. */
  getView(): ServerView {
    return this.view;
  }

  /** Applies a view read `ageMs` ago; returns whether servers changed. */
  apply(view: ServerView, ageMs: number): boolean {
    if (isBefore(view, this.view)) return false;
    for (const listener of this.readListeners) listener(view.servers, ageMs);
    const digest = computeDigest(view.servers, this.readListeners.length > 0);
    this.updateFreshness(view, ageMs);
    this.view = view;
    const isSettled = !this.isReregistering() && !this.isRestored();
    if (digest === this.viewDigest && isSettled) return false;
    this.viewDigest = digest;
    this.rebuild();
    return true;
  }

  /** Notes that a peer read the same servers `ageMs` ago. */
  updateFreshnessFromPeer(position: PublishedPosition, ageMs: number): void {
    const gainMs = this.measureAgeMs() - ageMs;
    if (isBefore(this.view, position) || gainMs >= minFreshnessGainMs) {
      this.updateFreshness(position, ageMs);
    }
  }

  /**
   * Stops using a process that is leaving or whose address belongs to another
   * process now, regardless of what the platform publishes.
   *
   * @param key - compact key of the process
   * @returns false if it was already removed
   */
  removeProcess(key: number): boolean {
    if (this.removedProcesses.has(key)) return false;
    this.removedProcesses.add(key);
    if (this.removedProcesses.size > maxRemovedProcesses) {
      const [oldest] = this.removedProcesses;
      this.removedProcesses.delete(oldest);
    }
    this.rebuild();
    return true;
  }

  /** Servers of a service that may be sent requests. */
  listUsable(service: string): readonly BackendServer[] {
    return this.usableByService.get(service) ?? [];
  }

  findUsable(serverId: string): BackendServer | undefined {
    return this.usable.get(serverId);
  }

  /** Finds a server by the compact key of its id. */
  findByKey(key: number): BackendServer | undefined {
    return this.usableByKey.get(key);
  }

  /** All servers that may be sent requests. */
  listAll(): Iterable<BackendServer> {
    return this.usable.values();
  }

  /**
   * Notes that the platform was read `ageMs` ago. Detects the end of an outage
   * and a restore.
   */
  private updateFreshness(position: PublishedPosition, ageMs: number): void {
    const nowMs = performance.now();
    const readAtMs = nowMs - ageMs;
    const gapMs = readAtMs - this.freshAtMs;
    const isRestore = position.epoch > this.view.epoch;
    if ((gapMs > outageThresholdMs || isRestore) && this.usable.size > 0) {
      this.reregistrationEndsAtMs = nowMs + reregistrationPeriodMs;
    }
    if (isRestore) this.restoredUntilMs = nowMs + restoredPeriodMs;
    this.freshAtMs = Math.max(this.freshAtMs, readAtMs);
    if (isBefore(this.view, position)) {
      const {epoch, revision} = position;
      this.view = {...this.view, epoch, revision};
    }
    if (this.hasExceptions && !this.isReregistering()) this.rebuild();
  }

  private isRestored(): boolean {
    return performance.now() < this.restoredUntilMs;
  }

  private isReregistering(): boolean {
    return performance.now() < this.reregistrationEndsAtMs;
  }

  private rebuild(): void {
    this.hasExceptions = false;
    const published = new Map(this.view.servers.map(s => [s.id, s]));
    for (const [id, server] of this.usable) {
      const isMissing = !published.has(id);
      if (isMissing && this.isReregistering()) {
        this.hasExceptions = true;
        continue;
      }
      if (isMissing) this.recordDeparture(server);
      this.usable.delete(id);
    }
    for (const server of published.values()) {
      if (server.state !== ServerState.Ready) {
        this.recordDeparture(server);
        this.usable.delete(server.id);
      } else if (this.isRestored() && this.hasDeparted(server)) {
        this.hasExceptions = true;
      } else {
        this.departedAtMs.delete(computeCompactKey(formatProcess(server)));
        this.usable.set(server.id, server);
      }
    }
    for (const server of this.usable.values()) {
      if (!this.removedProcesses.has(computeCompactKey(formatProcess(server))))
        continue;
      this.usable.delete(server.id);
    }
    this.usableByService = new Map();
    this.usableByKey = new Map();
    for (const server of this.usable.values()) {
      this.usableByKey.set(computeCompactKey(server.id), server);
      const servers = this.usableByService.get(server.service) ?? [];
      servers.push(server);
      this.usableByService.set(server.service, servers);
    }
  }

  private hasDeparted(server: BackendServer): boolean {
    return this.departedAtMs.has(computeCompactKey(formatProcess(server)));
  }

  private recordDeparture(server: BackendServer): void {
    const nowMs = performance.now();
    const key = computeCompactKey(formatProcess(server));
    this.departedAtMs.delete(key);
    this.departedAtMs.set(key, nowMs);
    for (const [oldest, atMs] of this.departedAtMs) {
      if (nowMs - atMs < departureRetentionMs) break;
      this.departedAtMs.delete(oldest);
    }
  }
}

function computeDigest(
  servers: readonly BackendServer[],
  includesCold: boolean,
): number {
  const lines = servers.map(server => {
    const line = `${formatProcess(server)} ${server.service} ${server.state}`;
    return includesCold && server.warmUpMs > 0 ? `${line} cold` : line;
  });
  return h32(lines.sort().join('\n'));
}
