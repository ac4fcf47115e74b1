/**
 * Limits that backend servers set on the requests that they take from the whole
 * fleet.
 *
 * The routers that callers use take turns: with a limit of two requests a
 * second, a turn begins each half second, and each belongs to one router. Turns
 * keep the limit without a message for each request, and use it as long as the
 * routers have requests. A turn that isn't used expires, so that unused turns of
 * the whole fleet don't add up to a burst.
 */

/** Turns expire after this time, in milliseconds. */
const turnLifetimeMs = 2_000;
/** Limits below this one, in requests a second, are only probed for their end. */
const minPerSecond = 0.1;
/**
 * Routers that learn of a limit independently adopt the earlier beginning of the
 * first turn if it differs by more than this, in milliseconds.
 */
const originToleranceMs = 50;
/**
 * Time for which each report repeats a change, in milliseconds, because reports
 * may be lost. Resting routers get one in 400 ms.
 */
const repeatPeriodMs = 1_500;

/**
 * Returns the mean time between two requests that servers take together, in
 * milliseconds; 0 without servers, or if one of them has no limit.
 *
 * @param limits - requests a second by server, Infinity for none
 * @example
 * computeIntervalMs([3, 1]) === 250
 */
export function computeIntervalMs(limits: readonly number[]): number {
  const perSecond = limits.reduce((sum, limit) => sum + limit, 0);
  return limits.length === 0 ? 0 : 1_000 / Math.max(minPerSecond, perSecond);
}

/** Position of this router among those that take turns. */
export interface TurnPosition {
  readonly index: number;
  /** Number of routers that take turns. */
  readonly count: number;
}

/** What a router reports of the limit of one server. */
export interface ServerLimitReport {
  /** Compact key of the server's process. */
  readonly key: number;
  /** Grows with each change of the limit. */
  readonly epoch: number;
  /** Requests a second; undefined once the limit has ended. */
  readonly perSecond: number | undefined;
  /** Time since the first turn began, in milliseconds. */
  readonly ageMs: number;
}

/** A request that looks for a server. */
export interface LimitedRequest {
  readonly service: string;
  /** Urgency rank, from 0, the most urgent. */
  readonly rank: number;
}

export interface ServerLimitsOptions {
  /** Sends the changes to the other routers at once. */
  readonly announce: () => void;
  /**
   * Returns the position of this router; undefined while callers are sent to
   * others only.
   */
  readonly getPosition: () => TurnPosition | undefined;
}

interface ServerLimit {
  readonly epoch: number;
  readonly perSecond: number | undefined;
  /** When the first turn began. */
  readonly originAtMs: number;
  /** When this router learned of this epoch. */
  readonly learnedAtMs: number;
  /** Beginning of the last turn that this router has used. */
  usedTurnAtMs: number;
  repeatUntilMs: number;
}

/**
 * Keeps the limits of backend servers, and decides whether a request may be sent
 * to one of them.
 *
 * @example
 * limits.recordAnswer(key, answer.limitPerSecond, sentAtMs);
 * if (limits.measureWaitMs(key, request) === 0) {
 *   limits.recordSend(key);
 * }
 */
export class ServerLimits {
  private readonly limits = new Map<number, ServerLimit>();
  /** For each service, when requests of each rank came last. */
  private readonly ranksSeenAtMs = new Map<string, Map<number, number>>();

  constructor(private readonly options: ServerLimitsOptions) {}

  /** True while no server has stated a limit. */
  get isEmpty(): boolean {
    return this.limits.size === 0;
  }

  /** Returns the limit of a server in requests a second. */
  getPerSecond(key: number): number | undefined {
    return this.limits.get(key)?.perSecond;
  }

  /**
   * Returns the mean time between two requests that servers take together, in
   * milliseconds; 0 unless all of them have limits.
   */
  computeIntervalMs(keys: readonly number[]): number {
    return computeIntervalMs(
      keys.map(key => this.getPerSecond(key) ?? Infinity),
    );
  }

  /**
   * Records the limit that an answer states, or that it states none.
   *
   * @param sentAtMs - `performance.now()` when the request was sent
   * @returns true if the limit has begun, changed or ended
   */
  recordAnswer(
    key: number,
    perSecond: number | undefined,
    sentAtMs: number,
  ): boolean {
    const known = this.limits.get(key);
    if (known?.perSecond === perSecond) return false;
    // Answers to requests from before the last change may be older than it.
    if (known && sentAtMs < known.learnedAtMs) return false;
    const nowMs = performance.now();
    this.set(key, (known?.epoch ?? 0) + 1, perSecond, nowMs);
    this.scheduleRepeat(key);
    this.options.announce();
    return true;
  }

  /**
   * Records the limits in another router's report.
   *
   * @param shouldRelay - true on a relay, for reports of its members
   */
  recordPeer(
    reports: readonly ServerLimitReport[],
    shouldRelay: boolean,
  ): void {
    const changed = reports.filter(report => this.isNewer(report));
    for (const {key, epoch, perSecond, ageMs} of changed) {
      this.set(key, epoch, perSecond, performance.now() - ageMs);
      if (shouldRelay) this.scheduleRepeat(key);
    }
    if (shouldRelay && changed.length > 0) this.options.announce();
  }

  /**
   * Lists the limits for the next report.
   *
   * @param isFull - lists all of them, for routers that have started since the
   * last change
   */
  listReports(isFull: boolean): ServerLimitReport[] {
    const nowMs = performance.now();
    const reports: ServerLimitReport[] = [];
    for (const [key, limit] of this.limits) {
      if (!isFull && limit.repeatUntilMs < nowMs) continue;
      const {epoch, perSecond, originAtMs} = limit;
      const ageMs = Math.round(nowMs - originAtMs);
      reports.push({key, epoch, perSecond, ageMs});
    }
    return reports;
  }

  /**
   * Returns the time until the request may be sent to the server, in
   * milliseconds: 0 if it may be sent now, Infinity if it is never this router's
   * turn. A request waits longer if more urgent ones come to this router.
   */
  measureWaitMs(key: number, request: LimitedRequest): number {
    const limit = this.limits.get(key);
    if (limit?.perSecond === undefined) return 0;
    const turnAtMs = this.findTurn(limit);
    if (turnAtMs === undefined) return Infinity;
    const openAtMs = turnAtMs + this.measurePatienceMs(request);
    return Math.max(0, openAtMs - performance.now());
  }

  /** Records that a request is sent to a server. */
  recordSend(key: number): void {
    const limit = this.limits.get(key);
    if (limit?.perSecond === undefined) return;
    limit.usedTurnAtMs = this.findTurn(limit) ?? limit.usedTurnAtMs;
  }

  /** Records that a request looks for a server. */
  recordRequest({service, rank}: LimitedRequest): void {
    const ranks = this.ranksSeenAtMs.get(service) ?? new Map();
    ranks.set(rank, performance.now());
    this.ranksSeenAtMs.set(service, ranks);
  }

  /** Removes the limits of processes that have ended. */
  forgetEnded(isRunning: (key: number) => boolean): void {
    for (const key of this.limits.keys()) {
      if (!isRunning(key)) this.limits.delete(key);
    }
  }

  /**
   * Of two limits in the same epoch, all routers adopt the lower one, and of two
   * equal ones the older.
   */
  private isNewer({key, epoch, perSecond, ageMs}: ServerLimitReport): boolean {
    const known = this.limits.get(key);
    if (!known || epoch > known.epoch) return true;
    if (epoch < known.epoch) return false;
    if (perSecond !== known.perSecond) {
      return (perSecond ?? Infinity) < (known.perSecond ?? Infinity);
    }
    const originAtMs = performance.now() - ageMs;
    return originAtMs < known.originAtMs - originToleranceMs;
  }

  private set(
    key: number,
    epoch: number,
    perSecond: number | undefined,
    originAtMs: number,
  ): void {
    const known = this.limits.get(key);
    this.limits.set(key, {
      epoch,
      perSecond,
      originAtMs,
      learnedAtMs: performance.now(),
      usedTurnAtMs: known?.usedTurnAtMs ?? -Infinity,
      repeatUntilMs: -Infinity,
    });
  }

  private scheduleRepeat(key: number): void {
    const limit = this.limits.get(key);
    if (limit) limit.repeatUntilMs = performance.now() + repeatPeriodMs;
  }

  /**
   * Finds the beginning of this router's earliest turn that is neither used nor
   * expired; it may be in the future.
   */
  private findTurn(limit: ServerLimit): number | undefined {
    const position = this.options.getPosition();
    if (!position) return undefined;
    const {originAtMs, usedTurnAtMs, perSecond = 0} = limit;
    const intervalMs = 1_000 / Math.max(minPerSecond, perSecond);
    const {index, count} = position;
    const expiredAtMs = performance.now() - turnLifetimeMs;
    // Half an interval after the used turn excludes rounding errors.
    const sinceMs = Math.max(usedTurnAtMs + intervalMs / 2, expiredAtMs);
    const first = Math.max(0, Math.ceil((sinceMs - originAtMs) / intervalMs));
    const turnsToOwn = (((index - first) % count) + count) % count;
    return originAtMs + (first + turnsToOwn) * intervalMs;
  }

  /**
   * Time for which a turn stays reserved for the more urgent requests that have
   * come to this router within the lifetime of a turn.
   */
  private measurePatienceMs({service, rank}: LimitedRequest): number {
    const ranks = this.ranksSeenAtMs.get(service);
    if (!ranks) return 0;
    const sinceMs = performance.now() - turnLifetimeMs;
    for (const [seen, atMs] of ranks) {
      if (atMs < sinceMs) ranks.delete(seen);
    }
    const moreUrgent = [...ranks.keys()].filter(seen => seen < rank).length;
    return (turnLifetimeMs * moreUrgent) / Math.max(1, ranks.size);
  }
}
