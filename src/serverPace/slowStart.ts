/**
 * Growth of the requests in flight at a server after a start or a failure.
 *
 * Load: a server that has just started, has returned, or has stopped failing is
 * empty, so that every router prefers it, and a burst of requests makes it slow
 * or fail again. How fast it can take more isn't known; its responses show it.
 *
 * As in TCP's slow start, this router has a window of requests in flight at the
 * server, at first one. A response or first event within its expected time adds
 * one to the window, so that it doubles in each round; one that comes after the
 * caller's target, a rejection and a failure halve it, once for all requests
 * that were sent before. The window ends when it is this router's part of the
 * server's slots. One request is always allowed, so that no server stays idle.
 */

/** How a server responded to a request. */
export enum ServerResponse {
  /** Within the time that was expected at the choice of the server. */
  OnTime = 'onTime',
  /** Later than expected, but within the caller's target. */
  Tolerable = 'tolerable',
  /** After the caller's target. */
  Late = 'late',
  /** Rejected without running it. */
  Rejected = 'rejected',
  /** Failed, or not reached. */
  Failed = 'failed',
}

/**
 * Responses on time, one after another, after which a server's earlier failures
 * no longer count. A single one is no proof: a server that fails half of its
 * requests gives one of every two.
 */
const recoveryResponses = 3;

/** A server as slow start sees it. */
export interface SlowStartServer {
  readonly id: string;
  readonly slots: number;
}

/** A window, for dumps. */
export interface SlowStartState {
  readonly id: string;
  readonly window: number;
}

/** A request that has ended, or has had its first event. */
export interface CompletedRequest {
  readonly response: ServerResponse;
  /** `performance.now()` when it was sent. */
  readonly sentAtMs: number;
  /** This router's requests in flight at the server. */
  readonly inFlight: number;
}

export interface SlowStartOptions {
  readonly isEnabled: boolean;
  /** Returns the number of routers that callers are sent to. */
  readonly countRouters: () => number;
}

interface Window {
  size: number;
  /** Requests sent before this time don't shrink the window again. */
  shrunkAtMs: number;
}

/**
 * Returns the response to a request by its times.
 *
 * @example
 * classifyResponse({elapsedMs: 90, expectedMs: 100, leftMs: 400})
 * // ServerResponse.OnTime
 */
export function classifyResponse({
  elapsedMs,
  expectedMs,
  leftMs,
}: {
  /** Time from sending the request to its answer or first event. */
  readonly elapsedMs: number;
  readonly expectedMs: number;
  /** Time that was left of the caller's target when it was sent. */
  readonly leftMs: number;
}): ServerResponse {
  if (elapsedMs <= expectedMs) return ServerResponse.OnTime;
  return elapsedMs <= leftMs ? ServerResponse.Tolerable : ServerResponse.Late;
}

/**
 * Keeps the windows of this router.
 *
 * @example
 * slowStart.begin('engine-7');
 * if (slowStart.canSend(server, inFlight)) send(server);
 */
export class SlowStart {
  private readonly windows = new Map<string, Window>();
  /** Responses on time since the last other one, by server that had trouble. */
  private readonly recoveries = new Map<string, number>();

  constructor(private readonly options: SlowStartOptions) {}

  get isEnabled(): boolean {
    return this.options.isEnabled;
  }

  /** Starts with one request at a server that has started or returned. */
  begin(serverId: string): void {
    if (!this.isEnabled) return;
    const shrunkAtMs = performance.now();
    this.windows.set(serverId, {size: 1, shrunkAtMs});
  }

  /** True if a server may get one more request from this router. */
  canSend({id, slots}: SlowStartServer, inFlight: number): boolean {
    const window = this.windows.get(id);
    if (!window || inFlight < window.size) return true;
    return window.size >= this.computePart(slots);
  }

  /**
   * Lists the servers that may get one more request; all of them if there is
   * none, because callers have no other.
   */
  listOpen<T extends SlowStartServer>(
    servers: T[],
    getInFlight: (serverId: string) => number,
  ): T[] {
    if (this.windows.size === 0) return servers;
    const open = servers.filter(server =>
      this.canSend(server, getInFlight(server.id)),
    );
    return open.length > 0 ? open : servers;
  }

  /**
   * Records how a server responded.
   *
   * @returns true if its earlier failures no longer count
   */
  record(server: SlowStartServer, request: CompletedRequest): boolean {
    if (!this.isEnabled) return false;
    const {response} = request;
    switch (response) {
      case ServerResponse.OnTime:
        this.widen(server);
        return this.recordOnTime(server.id);
      case ServerResponse.Tolerable:
        return false;
      case ServerResponse.Late:
        this.halve(server.id, request, false);
        return false;
      case ServerResponse.Rejected:
      case ServerResponse.Failed:
        this.recoveries.set(server.id, 0);
        this.halve(server.id, request, true);
        return false;
    }
  }

  /** Lists the windows, for the dump. */
  list(): SlowStartState[] {
    return [...this.windows].map(([id, {size}]) => ({id, window: size}));
  }

  /** Removes the windows of servers that have left. */
  forgetEnded(isListed: (serverId: string) => boolean): void {
    for (const id of [...this.windows.keys(), ...this.recoveries.keys()]) {
      if (isListed(id)) continue;
      this.windows.delete(id);
      this.recoveries.delete(id);
    }
  }

  /** This router's part of the slots of a server. */
  private computePart(slots: number): number {
    return Math.max(1, Math.ceil(slots / this.options.countRouters()));
  }

  private widen({id, slots}: SlowStartServer): void {
    const window = this.windows.get(id);
    if (!window) return;
    window.size += 1;
    if (window.size >= this.computePart(slots)) this.windows.delete(id);
  }

  /** @param begins - begins a window where there is none */
  private halve(
    id: string,
    {sentAtMs, inFlight}: CompletedRequest,
    begins: boolean,
  ): void {
    const window = this.windows.get(id);
    if (!window && !begins) return;
    if (window && sentAtMs < window.shrunkAtMs) return;
    const size = Math.max(1, Math.floor((window?.size ?? inFlight) / 2));
    this.windows.set(id, {size, shrunkAtMs: performance.now()});
  }

  private recordOnTime(id: string): boolean {
    const count = this.recoveries.get(id);
    if (count === undefined) return false;
    const hasRecovered = count + 1 >= recoveryResponses;
    if (hasRecovered) this.recoveries.delete(id);
    else this.recoveries.set(id, count + 1);
    return hasRecovered;
  }
}
