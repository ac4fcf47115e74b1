/** What callers and servers saw during shutdowns, and which of it is lost. */
import fs from 'node:fs';
import path from 'node:path';

export const graceSeconds = 8;
export const routerCount = 4;
/** A request may be cut if its server works in the last part of the grace. */
const lateWorkMs = (graceSeconds * 1_000 * 5) / 6;
/** Requests that are sent later than this must not be passed on and then cut. */
const latestCutRequestMs = 3_000;
/** Slack for a request that is read while its connection is being closed. */
const lossSlackMs = 200;

/** How many requests are in flight when a router stops. */
export enum Load {
  /** At most 15 or so. */
  Light = 'light',
  /**
   * Two of the routers have over a hundred each, engines are full, and other
   * planned work is done beside the shutdowns.
   */
  Bursts = 'bursts',
}

/** How the backend server of a request behaves. */
export enum Work {
  Plain = 'plain',
  Stream = 'stream',
  /** No answer. */
  Silent = 'silent',
}

/** A request as its caller and its server saw it, on the steady clock. */
export interface ObservedRequest {
  readonly id: string;
  readonly router: string;
  readonly path: string;
  readonly work: Work;
  readonly workMs: number;
  readonly startedAtMs: number;
  /** Time after which the router may end the request. */
  readonly limitMs: number;
  sentAtMs?: number;
  reachedServerAtMs?: number;
  /** When a server had sent the last byte of its answer. */
  servedAtMs?: number;
  endedAtMs?: number;
  status: number;
  isComplete: boolean;
  hasExpired: boolean;
}

/** One shutdown of a router process. */
export interface Shutdown {
  readonly router: string;
  readonly signalledAtMs: number;
  /** Unanswered requests at the signal. */
  readonly inFlight: number;
  /** Undefined when the process was killed at the end of its grace. */
  endedAfterMs?: number;
}

/** What a run was like. */
interface RunParameters {
  readonly seed: number;
  readonly load: Load;
  readonly cpuRatio: number;
  /** Longest delay of a timer of the process of the test, in milliseconds. */
  readonly maxLagMs: number;
}

export interface SlowShutdownReport extends RunParameters {
  readonly requests: number;
  readonly complete: number;
  readonly statuses: Record<string, number>;
  readonly shutdowns: readonly Shutdown[];
  readonly killed: readonly Shutdown[];
  readonly lost: readonly object[];
  /** Requests that were at a server and cut at the end of the grace time. */
  readonly allowedCuts: number;
  /** Requests sent over 3 s after SIGTERM that reached a server. */
  readonly lateRequests: number;
  readonly folder: string;
}

/** Collects the requests and shutdowns of one run. */
export class ShutdownRecord {
  readonly requests = new Map<string, ObservedRequest>();
  readonly shutdowns: Shutdown[] = [];

  /** Judges what callers saw, and writes it to the folder of the run. */
  report(folder: string, parameters: RunParameters): SlowShutdownReport {
    const requests = [...this.requests.values()];
    const logs = readLogs(folder);
    const statuses: Record<string, number> = {};
    for (const {status, isComplete} of requests) {
      const key = isComplete ? String(status) : `${status} cut`;
      statuses[key] = (statuses[key] ?? 0) + 1;
    }
    const report = {
      ...parameters,
      requests: requests.length,
      complete: requests.filter(({isComplete}) => isComplete).length,
      statuses,
      shutdowns: this.shutdowns,
      killed: this.shutdowns.filter(({endedAfterMs}) => !endedAfterMs),
      lost: requests
        .filter(request => this.isLost(request, logs))
        .map(request => this.describe(request, logs)),
      lateRequests: requests.filter(request => this.isSentLate(request)).length,
      allowedCuts: requests.filter(request => this.isAllowedCut(request))
        .length,
      folder,
    };
    const file = path.join(folder, 'report.json');
    fs.writeFileSync(file, JSON.stringify(report, undefined, 1));
    return report;
  }

  /**
   * True for a request that was sent whole and read, and has no complete answer,
   * unless its time limit has passed or it may be cut at the end of the grace
   * time.
   */
  private isLost(request: ObservedRequest, logs: Map<string, string[]>) {
    const {sentAtMs, endedAtMs, reachedServerAtMs, id} = request;
    if (request.isComplete || request.hasExpired) return false;
    if (sentAtMs === undefined || endedAtMs === undefined) return false;
    const isLate = endedAtMs - sentAtMs > lossSlackMs && logs.has(id);
    if (reachedServerAtMs === undefined && !isLate) return false;
    if (endedAtMs - request.startedAtMs >= request.limitMs) return false;
    return !this.isAllowedCut(request);
  }

  /** True if the server still worked in the last part of the grace time. */
  private isAllowedCut(request: ObservedRequest): boolean {
    const {sentAtMs, endedAtMs, reachedServerAtMs} = request;
    const {servedAtMs = Infinity} = request;
    if (request.isComplete || request.hasExpired) return false;
    if (sentAtMs === undefined || endedAtMs === undefined) return false;
    const shutdown = this.findShutdown(request);
    const sentAfterMs = sentAtMs - (shutdown?.signalledAtMs ?? Infinity);
    const endedAfterMs = endedAtMs - (shutdown?.signalledAtMs ?? Infinity);
    const servedAfterMs = servedAtMs - (shutdown?.signalledAtMs ?? Infinity);
    return (
      reachedServerAtMs !== undefined &&
      servedAfterMs >= lateWorkMs &&
      sentAfterMs <= latestCutRequestMs &&
      endedAfterMs >= lateWorkMs
    );
  }

  /** True for a request that a router passed on late in its shutdown. */
  private isSentLate({
    router,
    sentAtMs = 0,
    reachedServerAtMs,
  }: ObservedRequest) {
    return this.shutdowns.some(shutdown => {
      const sentAfterMs = sentAtMs - shutdown.signalledAtMs;
      const endedAfterMs = shutdown.endedAfterMs ?? graceSeconds * 1_000;
      return (
        shutdown.router === router &&
        reachedServerAtMs !== undefined &&
        sentAfterMs > latestCutRequestMs &&
        sentAfterMs < endedAfterMs
      );
    });
  }

  /** Finds the last shutdown of a request's router before the request ended. */
  private findShutdown(request: ObservedRequest): Shutdown | undefined {
    return this.shutdowns.findLast(
      ({router, signalledAtMs}) =>
        router === request.router && signalledAtMs < request.endedAtMs!,
    );
  }

  private describe(
    request: ObservedRequest,
    logs: Map<string, string[]>,
  ): object {
    const fromMs = this.findShutdown(request)?.signalledAtMs;
    const measure = (atMs: number | undefined) =>
      atMs === undefined || fromMs === undefined
        ? undefined
        : Math.round(atMs - fromMs);
    return {
      ...request,
      sinceSigterm: {
        startedMs: measure(request.startedAtMs),
        sentMs: measure(request.sentAtMs),
        reachedServerMs: measure(request.reachedServerAtMs),
        servedMs: measure(request.servedAtMs),
        endedMs: measure(request.endedAtMs),
      },
      log: logs.get(request.id),
    };
  }
}

/** Reads the routers' log lines by the id of the request. */
function readLogs(folder: string): Map<string, string[]> {
  const lines = new Map<string, string[]>();
  for (let i = 0; i < routerCount; i++) {
    const file = path.join(folder, `router-${i}.log`);
    for (const line of fs.readFileSync(file, 'utf8').split('\n')) {
      const id = /"requestId":"([^"]+)"/.exec(line)?.[1];
      if (id) lines.set(id, [...(lines.get(id) ?? []), line]);
    }
  }
  return lines;
}
