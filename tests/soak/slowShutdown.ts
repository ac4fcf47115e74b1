/**
 * Shutdowns of routers that get a fraction of a core, while callers keep using
 * their connections. Callers and servers record what they saw.
 */
import fs from 'node:fs';
import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import os from 'node:os';
import path from 'node:path';
import {RouteKind, ServerState} from '../../src/router/deployment.js';
import {SeededRandom} from '../../src/standins/seededRandom.js';
import {
  buildRoute,
  host,
  sampleDeployment,
  sampleServer,
} from '../router/routerFixture.js';
import {PublishedStateServer} from './httpPublishedState.js';
import {SoakRouter} from './soakFleet.js';

export const graceSeconds = 8;
const cpuRatio = Number(process.env.SLOW_CPU_RATIO ?? 0.227);
const routerCount = 4;
const backendCount = 3;
const deadlineMs = 12_000;
const orderDeadlineMs = 1_500;
const eventIntervalMs = 100;
const bodyBytes = 18_432;
const maxBodyPieces = 10;
const maxStartMs = 30_000;
/** Callers use a connection again after a pause, mostly a short one. */
const maxShortIdleMs = 300;
const maxIdleMs = 4_500;
const longIdleRatio = 0.3;
/** The first numbers of generators with small seeds are close to each other. */
const skippedDraws = 20;
const maxRequestsPerConnection = 6;
/** A request may be cut if its server works in the last part of the grace. */
const lateWorkMs = (graceSeconds * 1_000 * 5) / 6;
/** Requests that are sent later than this must not be passed on and then cut. */
const latestCutRequestMs = 3_000;
/** Slack for a request that is read while its connection is being closed. */
const lossSlackMs = 200;

/** How the backend server of a request behaves. */
enum Work {
  Plain = 'plain',
  Stream = 'stream',
  /** No answer. */
  Silent = 'silent',
}

/** A request as its caller and its server saw it, on the steady clock. */
interface ObservedRequest {
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
  endedAtMs?: number;
  status: number;
  isComplete: boolean;
  hasExpired: boolean;
}

/** One shutdown of a router process. */
interface Shutdown {
  readonly router: string;
  readonly signalledAtMs: number;
  /** Undefined when the process was killed at the end of its grace. */
  endedAfterMs?: number;
}

export interface SlowShutdownReport {
  readonly seed: number;
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

/** Plays one seeded run. */
export class SlowShutdownRun {
  private readonly folder: string;
  private readonly routers: SoakRouter[] = [];
  private readonly requests = new Map<string, ObservedRequest>();
  private readonly shutdowns: Shutdown[] = [];
  private readonly restarting = new Set<SoakRouter>();
  private readonly servers: http.Server[] = [];
  private readonly random: SeededRandom;
  private leavingServer: number | undefined;
  private isEnding = false;
  private platform!: PublishedStateServer;

  constructor(private readonly seed: number) {
    this.random = new SeededRandom(seed);
    const prefix = path.join(os.tmpdir(), `slow-shutdown-${seed}-`);
    this.folder = fs.mkdtempSync(prefix);
  }

  /** Runs shutdowns for a time; returns what callers saw. */
  async run(durationMs: number): Promise<SlowShutdownReport> {
    await this.start();
    try {
      const callers = Array.from({length: this.drawInteger(20, 60)}, () =>
        this.runCaller(this.openRandom()),
      );
      const endsAtMs = performance.now() + durationMs;
      const steps: Array<Promise<void>> = [];
      while (performance.now() < endsAtMs) {
        steps.push(this.runStep());
        await wait(this.drawInteger(500, 4_000));
      }
      await Promise.all(steps);
      this.isEnding = true;
      await Promise.all(callers);
    } finally {
      await this.stop();
    }
    return this.report();
  }

  private async start(): Promise<void> {
    this.platform = await PublishedStateServer.start();
    for (let i = 0; i < backendCount; i++) await this.addServer();
    this.publishServers();
    this.platform.state.publishDeployment({
      ...sampleDeployment,
      routes: [
        buildRoute({timeoutMs: orderDeadlineMs}),
        buildRoute({
          name: 'status',
          pathPrefix: '/status/',
          kind: RouteKind.Idempotent,
          timeoutMs: orderDeadlineMs,
          maxServers: 2,
        }),
        buildRoute({
          name: 'ask',
          pathPrefix: '/ask/',
          kind: RouteKind.Stream,
          timeoutMs: deadlineMs,
        }),
      ],
    });
    const store = `127.0.0.1:${this.platform.port}`;
    for (let i = 0; i < routerCount; i++) {
      const logFile = path.join(this.folder, `router-${i}.log`);
      const options = {graceSeconds, cpuRatio, logFile};
      const router = new SoakRouter(i, this.folder, store, options);
      this.routers.push(router);
      router.start();
    }
    for (const router of this.routers) await this.waitReady(router);
  }

  private async stop(): Promise<void> {
    for (const router of this.routers) router.signal('SIGKILL');
    for (const router of this.routers) await router.waitForExit();
    for (const server of this.servers) {
      server.close();
      server.closeAllConnections();
    }
    this.platform.stop();
  }

  private async waitReady(router: SoakRouter): Promise<void> {
    const endsAtMs = performance.now() + maxStartMs;
    while (!(await router.isReady())) {
      if (performance.now() > endsAtMs) {
        throw new Error(`${router.address} is not ready; see ${this.folder}`);
      }
      await wait(100);
    }
  }

  private async runStep(): Promise<void> {
    const draw = this.random.draw();
    if (draw < 0.25) return this.drainServer();
    const count = draw < 0.75 ? 1 : routerCount - 1;
    const free = this.routers.filter(router => !this.restarting.has(router));
    const first = this.drawInteger(0, free.length);
    const order = [...free.slice(first), ...free.slice(0, first)];
    const chosen = order.slice(0, Math.min(count, free.length - 1));
    await Promise.all(chosen.map(router => this.restart(router)));
  }

  private async restart(router: SoakRouter): Promise<void> {
    this.restarting.add(router);
    const signalledAtMs = performance.now();
    const shutdown: Shutdown = {router: router.callers, signalledAtMs};
    this.shutdowns.push(shutdown);
    router.signal('SIGTERM');
    const exited = router.waitForExit().then(() => true);
    if (await Promise.race([exited, wait(graceSeconds * 1_000)])) {
      shutdown.endedAfterMs = performance.now() - signalledAtMs;
    } else router.signal('SIGKILL');
    await exited;
    router.start();
    await this.waitReady(router);
    this.restarting.delete(router);
  }

  private async drainServer(): Promise<void> {
    if (this.leavingServer !== undefined) return;
    this.leavingServer = this.drawInteger(0, backendCount);
    this.publishServers();
    await wait(this.drawInteger(500, 4_000));
    this.leavingServer = undefined;
    this.publishServers();
  }

  private publishServers(): void {
    const servers = this.servers.map((server, index) => ({
      ...sampleServer,
      id: `server-${index}`,
      host: '127.0.0.1',
      port: (server.address() as AddressInfo).port,
      slots: 64,
      state:
        index === this.leavingServer ? ServerState.Draining : ServerState.Ready,
    }));
    this.platform.state.publishServers(servers);
  }

  private async addServer(): Promise<void> {
    const server = http.createServer((incoming, response) =>
      this.answer(incoming, response),
    );
    await new Promise<void>(resolve =>
      server.listen(0, '127.0.0.1', () => resolve()),
    );
    this.servers.push(server);
  }

  private answer(incoming: IncomingMessage, response: ServerResponse): void {
    incoming.resume();
    incoming.on('error', () => undefined);
    const id = String(incoming.headers['x-attempt']);
    const request = this.requests.get(id);
    if (!request) {
      response.setHeader('x-stamp', 's');
      response.end('healthy');
      return;
    }
    request.reachedServerAtMs ??= performance.now();
    response.setHeader('x-attempt', id);
    response.setHeader('x-stamp', 's');
    switch (request.work) {
      case Work.Plain:
        setTimeout(() => response.end(`answer to ${id}`), request.workMs);
        return;
      case Work.Silent:
        return;
      case Work.Stream: {
        const endsAtMs = performance.now() + request.workMs;
        let event = 0;
        const timer = setInterval(() => {
          event += 1;
          response.write(`id: ${event}\ndata: ${event}\n\n`);
          if (performance.now() < endsAtMs) return;
          clearInterval(timer);
          response.end();
        }, eventIntervalMs);
        response.on('close', () => clearInterval(timer));
      }
    }
  }

  /** Uses one connection to a router for as long as the router keeps it. */
  private async runCaller(random: SeededRandom): Promise<void> {
    const drawUpTo = (max: number) => Math.floor(random.draw() * max);
    while (!this.isEnding) {
      const router = this.routers[drawUpTo(routerCount)];
      const agent = new http.Agent({keepAlive: true, maxSockets: 1});
      for (let i = 0; i < maxRequestsPerConnection && !this.isEnding; i++) {
        const request = await this.send(router, random, agent);
        if (request.status === 0) break;
        const isLongIdle = random.draw() < longIdleRatio;
        await wait(drawUpTo(isLongIdle ? maxIdleMs : maxShortIdleMs));
      }
      agent.destroy();
      await wait(100 + drawUpTo(200));
    }
  }

  private async send(
    router: SoakRouter,
    random: SeededRandom,
    agent: http.Agent,
  ): Promise<ObservedRequest> {
    const kind = random.draw();
    const isStream = kind < 0.5;
    const isSilent = random.draw() < 0.05;
    const id = `r${this.requests.size + 1}`;
    const request: ObservedRequest = {
      id,
      router: router.callers,
      path: isStream ? '/ask/' : kind < 0.75 ? '/orders/' : '/status/',
      work: isSilent ? Work.Silent : isStream ? Work.Stream : Work.Plain,
      workMs: isStream
        ? (deadlineMs - 500) * random.draw()
        : 10 + 300 * random.draw(),
      startedAtMs: performance.now(),
      limitMs: isStream ? deadlineMs : orderDeadlineMs,
      status: 0,
      isComplete: false,
      hasExpired: false,
    };
    this.requests.set(id, request);
    const pieces =
      request.path === '/status/'
        ? 0
        : 1 + Math.floor(random.draw() * maxBodyPieces);
    await this.sendRequest(request, pieces, agent);
    return request;
  }

  /** Sends the body in pieces, and resolves when the answer has ended. */
  private sendRequest(
    request: ObservedRequest,
    pieces: number,
    agent: http.Agent,
  ): Promise<void> {
    const {router, id, limitMs} = request;
    const [hostname, port] = router.split(':');
    return new Promise(resolve => {
      const outgoing = http.request({
        hostname,
        port,
        path: request.path,
        method: pieces > 0 ? 'POST' : 'GET',
        agent,
        headers: {
          host,
          'x-key': 'k1',
          'x-attempt': id,
          'x-deadline': limitMs,
          ...(pieces > 0 && {'content-length': bodyBytes}),
        },
      });
      // Routers answer at the time limit; callers wait a little longer.
      const timer = setTimeout(() => {
        request.hasExpired = true;
        outgoing.destroy();
      }, limitMs + 1_000);
      const end = () => {
        clearTimeout(timer);
        request.endedAtMs ??= performance.now();
        resolve();
      };
      outgoing.on('finish', () => (request.sentAtMs = performance.now()));
      outgoing.on('response', response => {
        request.status = response.statusCode ?? 0;
        response.resume();
        response.on('error', () => undefined);
        response.on('close', () => {
          request.isComplete = response.complete;
          end();
        });
      });
      outgoing.on('error', end);
      void sendBody(outgoing, pieces);
    });
  }

  private report(): SlowShutdownReport {
    const requests = [...this.requests.values()];
    const logs = this.readLogs();
    const statuses: Record<string, number> = {};
    for (const {status, isComplete} of requests) {
      const key = isComplete ? String(status) : `${status} cut`;
      statuses[key] = (statuses[key] ?? 0) + 1;
    }
    const report = {
      seed: this.seed,
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
      folder: this.folder,
    };
    const file = path.join(this.folder, 'report.json');
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
    if (request.isComplete || request.hasExpired) return false;
    if (sentAtMs === undefined || endedAtMs === undefined) return false;
    const shutdown = this.findShutdown(request);
    const sentAfterMs = sentAtMs - (shutdown?.signalledAtMs ?? Infinity);
    const endedAfterMs = endedAtMs - (shutdown?.signalledAtMs ?? Infinity);
    return (
      reachedServerAtMs !== undefined &&
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
        endedMs: measure(request.endedAtMs),
      },
      log: logs.get(request.id),
    };
  }

  /** Reads the routers' log lines by the id of the request. */
  private readLogs(): Map<string, string[]> {
    const lines = new Map<string, string[]>();
    for (let i = 0; i < routerCount; i++) {
      const file = path.join(this.folder, `router-${i}.log`);
      for (const line of fs.readFileSync(file, 'utf8').split('\n')) {
        const id = /"requestId":"([^"]+)"/.exec(line)?.[1];
        if (id) lines.set(id, [...(lines.get(id) ?? []), line]);
      }
    }
    return lines;
  }

  /** Opens a generator whose first numbers don't resemble those of others. */
  private openRandom(): SeededRandom {
    const random = new SeededRandom(this.drawInteger(1, 2 ** 30));
    for (let i = 0; i < skippedDraws; i++) random.draw();
    return random;
  }

  private drawInteger(min: number, max: number): number {
    return min + Math.floor(this.random.draw() * (max - min));
  }
}

async function sendBody(
  outgoing: http.ClientRequest,
  pieces: number,
): Promise<void> {
  for (let sent = 0; sent < pieces; sent++) {
    if (outgoing.destroyed) return;
    const isLast = sent === pieces - 1;
    const pieceBytes = Math.floor(bodyBytes / pieces);
    const bytes = isLast ? bodyBytes - sent * pieceBytes : pieceBytes;
    outgoing.write(Buffer.alloc(bytes));
    if (!isLast) await wait(20);
  }
  outgoing.end();
}

function wait(ms: number): Promise<undefined> {
  return new Promise(resolve => setTimeout(() => resolve(undefined), ms));
}
