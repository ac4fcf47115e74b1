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
import {FaultProxy, LinkFault} from './faultProxy.js';
import {PublishedStateServer} from './httpPublishedState.js';
import {
  graceSeconds,
  Load,
  routerCount,
  ShutdownRecord,
  Work,
  type ObservedRequest,
  type Shutdown,
  type SlowShutdownReport,
} from './shutdownRecord.js';
import {SlottedEngine} from './slottedEngine.js';
import {SoakRouter} from './soakFleet.js';

/** Shares of a core that VMs have. */
const minCpuRatio = 0.227;
const maxCpuRatio = 0.675;
const fixedCpuRatio = Number(process.env.SLOW_CPU_RATIO ?? minCpuRatio);
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
/** Routers with most of the requests under `Load.Bursts`, and their share. */
const busyRouterCount = 2;
const busyRouterRatio = 0.85;
/** Requests that a server works on at a time under `Load.Bursts`. */
const engineSlots = 48;
const shortStreamDeadlineMs = 4_000;
/** Limit that servers of some runs with `Load.Bursts` state, per second. */
const statedLimit = 20;

/** Time in which the requests of `Load.Bursts` accumulate. */
const burstRampMs = 4_000;

const burstRoutes = [
  buildRoute({
    name: 'chat',
    pathPrefix: '/chat/',
    kind: RouteKind.Stream,
    timeoutMs: shortStreamDeadlineMs,
  }),
  buildRoute({
    name: 'imports',
    pathPrefix: '/imports/',
    timeoutMs: deadlineMs,
    targetMs: deadlineMs,
  }),
];

/** Plays one seeded run. */
export class SlowShutdownRun {
  private readonly folder: string;
  private readonly routers: SoakRouter[] = [];
  private readonly record = new ShutdownRecord();
  private readonly restarting = new Set<SoakRouter>();
  private readonly servers: http.Server[] = [];
  private readonly random: SeededRandom;
  private leavingServer: number | undefined;
  private isEnding = false;
  private platform!: PublishedStateServer;
  private storeLink: FaultProxy | undefined;
  private readonly cpuRatio: number;
  private readonly isLimited: boolean;
  private readonly engines = new Map<http.Server, SlottedEngine>();
  private maxLagMs = 0;

  constructor(
    private readonly seed: number,
    private readonly load = Load.Light,
  ) {
    this.random = new SeededRandom(seed);
    if (load === Load.Bursts) {
      for (let i = 0; i < skippedDraws; i++) this.random.draw();
    }
    const isSmallVm = load === Load.Light || this.random.draw() < 0.6;
    this.cpuRatio = isSmallVm ? fixedCpuRatio : maxCpuRatio;
    this.isLimited = load === Load.Bursts && this.random.draw() < 0.3;
    const prefix = path.join(os.tmpdir(), `slow-shutdown-${seed}-`);
    this.folder = fs.mkdtempSync(prefix);
  }

  /** Runs shutdowns for a time; returns what callers saw. */
  async run(durationMs: number): Promise<SlowShutdownReport> {
    await this.start();
    try {
      const callerCount =
        this.load === Load.Light
          ? this.drawInteger(20, 60)
          : this.drawInteger(250, 400);
      const callers = Array.from({length: callerCount}, () =>
        this.runCaller(this.openRandom()),
      );
      void this.measureLag();
      if (this.load === Load.Bursts) await wait(burstRampMs);
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
    return this.record.report(this.folder, {
      seed: this.seed,
      load: this.load,
      cpuRatio: this.cpuRatio,
      maxLagMs: this.maxLagMs,
    });
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
        ...(this.load === Load.Bursts ? burstRoutes : []),
      ],
    });
    if (this.load === Load.Bursts) {
      this.storeLink = await FaultProxy.start(this.platform.port);
    }
    const store = `127.0.0.1:${this.storeLink?.port ?? this.platform.port}`;
    for (let i = 0; i < routerCount; i++) {
      const logFile = path.join(this.folder, `router-${i}.log`);
      const options = {graceSeconds, cpuRatio: this.cpuRatio, logFile};
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
    this.storeLink?.stop();
    this.platform.stop();
  }

  private async measureLag(): Promise<void> {
    while (!this.isEnding) {
      const startedAtMs = performance.now();
      await wait(50);
      const lagMs = performance.now() - startedAtMs - 50;
      this.maxLagMs = Math.max(this.maxLagMs, Math.round(lagMs));
    }
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
    const first =
      this.load === Load.Light ? this.drawInteger(0, free.length) : 0;
    const order = [...free.slice(first), ...free.slice(0, first)];
    const chosen = order.slice(0, Math.min(count, free.length - 1));
    await Promise.all(chosen.map(router => this.restart(router)));
  }

  private async restart(router: SoakRouter): Promise<void> {
    this.restarting.add(router);
    const signalledAtMs = performance.now();
    const inFlight = [...this.record.requests.values()].filter(
      ({router: address, sentAtMs, endedAtMs}) =>
        address === router.callers && sentAtMs && !endedAtMs,
    ).length;
    const shutdown: Shutdown = {
      router: router.callers,
      signalledAtMs,
      inFlight,
    };
    this.record.shutdowns.push(shutdown);
    router.signal('SIGTERM');
    if (this.load === Load.Bursts) void this.disturbStop(router);
    const exited = router.waitForExit().then(() => true);
    if (await Promise.race([exited, wait(graceSeconds * 1_000)])) {
      shutdown.endedAfterMs = performance.now() - signalledAtMs;
    } else router.signal('SIGKILL');
    await exited;
    router.start();
    await this.waitReady(router);
    this.restarting.delete(router);
  }

  /** Does other planned work, and harms the store, while a router stops. */
  private async disturbStop(router: SoakRouter): Promise<void> {
    const draw = this.random.draw();
    await wait(this.drawInteger(0, 7_000));
    if (draw < 0.2) router.signal('SIGTERM');
    else if (draw < 0.4) router.signal('SIGHUP');
    else if (draw < 0.6) {
      const {state} = this.platform;
      const {deployment} = state;
      const version = deployment!.version + 1;
      state.publishDeployment({...deployment!, version});
    } else if (draw < 0.8) {
      const fault = draw < 0.7 ? LinkFault.Reset : LinkFault.Silence;
      this.storeLink!.inject(fault);
      await wait(3_000);
      this.storeLink!.inject(LinkFault.None);
    }
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
      this.handle(server, incoming, response),
    );
    this.engines.set(server, new SlottedEngine(engineSlots));
    await new Promise<void>(resolve =>
      server.listen(0, '127.0.0.1', () => resolve()),
    );
    this.servers.push(server);
  }

  private handle(
    server: http.Server,
    incoming: IncomingMessage,
    response: ServerResponse,
  ): void {
    const id = String(incoming.headers['x-attempt']);
    const request = this.record.requests.get(id);
    if (this.load === Load.Light || !request) {
      this.answer(incoming, response);
      return;
    }
    request.reachedServerAtMs ??= performance.now();
    if (this.isLimited) response.setHeader('x-limit', statedLimit);
    this.engines.get(server)!.run(response, () => {
      this.answer(incoming, response);
    });
  }

  private answer(incoming: IncomingMessage, response: ServerResponse): void {
    incoming.resume();
    incoming.on('error', () => undefined);
    const id = String(incoming.headers['x-attempt']);
    const request = this.record.requests.get(id);
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
        setTimeout(() => {
          request.servedAtMs = performance.now();
          response.end(`answer to ${id}`);
        }, request.workMs);
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
          request.servedAtMs = performance.now();
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
      const isAtBusy =
        this.load === Load.Bursts && random.draw() < busyRouterRatio;
      const router =
        this.routers[drawUpTo(isAtBusy ? busyRouterCount : routerCount)];
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
    if (this.load === Load.Bursts) return this.sendBurst(router, random, agent);
    const kind = random.draw();
    const isStream = kind < 0.5;
    const isSilent = random.draw() < 0.05;
    const id = `r${this.record.requests.size + 1}`;
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
    this.record.requests.set(id, request);
    const pieces =
      request.path === '/status/'
        ? 0
        : 1 + Math.floor(random.draw() * maxBodyPieces);
    await this.sendRequest(request, pieces, agent);
    return request;
  }

  /** Sends a request that lasts for seconds, or a quick order. */
  private async sendBurst(
    router: SoakRouter,
    random: SeededRandom,
    agent: http.Agent,
  ): Promise<ObservedRequest> {
    const kind = random.draw();
    const work = random.draw() < 0.02 ? Work.Silent : undefined;
    const [pathPrefix, limitMs, drawnWork, minMs, maxMs] =
      kind < 0.4
        ? (['/ask/', deadlineMs, Work.Stream, 3_500, 11_500] as const)
        : kind < 0.7
          ? ([
              '/chat/',
              shortStreamDeadlineMs,
              Work.Stream,
              2_000,
              3_900,
            ] as const)
          : kind < 0.85
            ? (['/imports/', deadlineMs, Work.Plain, 500, 9_000] as const)
            : (['/orders/', orderDeadlineMs, Work.Plain, 10, 1_000] as const);
    const request: ObservedRequest = {
      id: `r${this.record.requests.size + 1}`,
      router: router.callers,
      path: pathPrefix,
      work: work ?? drawnWork,
      workMs: minMs + (maxMs - minMs) * random.draw(),
      startedAtMs: performance.now(),
      limitMs,
      status: 0,
      isComplete: false,
      hasExpired: false,
    };
    this.record.requests.set(request.id, request);
    const pieces = 1 + Math.floor(random.draw() * maxBodyPieces);
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
