/** Runs routers as processes, with backend servers and a platform. */
import {spawn, type ChildProcess} from 'node:child_process';
import fs from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import {ServerState, type BackendServer} from '../../src/router/deployment.js';
import {sampleDeployment} from '../router/routerFixture.js';
import {FaultProxy} from './faultProxy.js';
import {PublishedStateServer} from './httpPublishedState.js';
import {SoakBackend} from './soakBackends.js';

const routerFile = new URL('./soakRouter.js', import.meta.url).pathname;
/** Ports of the routers, which differ in their addresses. */
const ports = {
  callers: 7_411,
  ready: 7_412,
  addresses: 7_413,
  peers: 7_414,
  exchange: 7_415,
};

/**
 * A SIGHUP ends the process while Node.js starts, as no handler is installed
 * yet. The start takes 140 ms on an idle machine and up to 310 ms next to
 * twenty busy processes.
 */
const maxRuntimeStartMs = 500;
/** Delay after which the platform restarts a process that has ended. */
const restartDelayMs = 150;

/** Length of the period in which a limited process gets its share. */
const cpuPeriodMs = 100;

export interface SoakRouterOptions {
  readonly graceSeconds?: number;
  /** Share of a core that the process gets, by SIGSTOP and SIGCONT. */
  readonly cpuRatio?: number;
  /** File to which the log is appended, at level "debug". */
  readonly logFile?: string;
}

/** One router process, restarted if an early SIGHUP ends it. */
export class SoakRouter {
  readonly address: string;
  private child: ChildProcess | undefined;
  private readonly settingsFile: string;

  constructor(
    number: number,
    folder: string,
    store: string,
    private readonly options: SoakRouterOptions = {},
  ) {
    // Parallel soak runs must not use the same addresses.
    this.address = `127.${1 + (process.pid % 200)}.0.${10 + number}`;
    this.settingsFile = path.join(folder, `router-${number}.json`);
    const seed = this.address.replace(/\d+$/, '10');
    const at = (port: number) => `${this.address}:${port}`;
    const settings = {
      vm: `vm-${number}`,
      zone: 'a',
      linkMbps: 1_000,
      address: this.address,
      listen: {
        callers: at(ports.callers),
        ready: at(ports.ready),
        addresses: at(ports.addresses),
        peers: at(ports.peers),
        exchangePort: ports.exchange,
        metricsPort: 0,
      },
      seeds: [`${seed}:${ports.peers}`],
      store,
      shutdown: {graceSeconds: options.graceSeconds ?? 5},
      logLevel: options.logFile ? 'debug' : 'info',
      retries: {ratio: 0.2, slack: 60, windowSeconds: 10},
    };
    fs.writeFileSync(this.settingsFile, JSON.stringify(settings));
  }

  start(): void {
    const args = [routerFile, '--settings', this.settingsFile];
    const startedAtMs = performance.now();
    const {logFile} = this.options;
    const log = logFile ? fs.openSync(logFile, 'a') : 'ignore';
    const child = spawn(process.execPath, args, {
      stdio: ['ignore', log, 'inherit'],
    });
    if (typeof log === 'number') fs.closeSync(log);
    this.child = child;
    this.scheduleCpuShare(child);
    child.once('exit', (_code, signal) => {
      const ageMs = performance.now() - startedAtMs;
      if (signal !== 'SIGHUP' || ageMs > maxRuntimeStartMs) return;
      setTimeout(() => this.child === child && this.start(), restartDelayMs);
    });
  }

  /** Stops and continues a process so that it gets its share of a core. */
  private scheduleCpuShare(child: ChildProcess): void {
    const {cpuRatio} = this.options;
    if (cpuRatio === undefined) return;
    const timer = setInterval(() => {
      child.kill('SIGCONT');
      setTimeout(() => child.kill('SIGSTOP'), cpuPeriodMs * cpuRatio);
    }, cpuPeriodMs);
    child.once('exit', () => clearInterval(timer));
  }

  /** Sends a signal to the process. */
  signal(name: NodeJS.Signals): void {
    this.child?.kill(name);
  }

  /** Waits until the process has ended. */
  async waitForExit(): Promise<void> {
    const {child} = this;
    if (!child || child.exitCode !== null || child.signalCode !== null) return;
    await new Promise(resolve => child.once('exit', resolve));
  }

  async isReady(): Promise<boolean> {
    const url = `http://${this.address}:${ports.ready}/ready`;
    const signal = AbortSignal.timeout(300);
    return fetch(url, {signal}).then(
      response => response.status === 200,
      () => false,
    );
  }

  get callers(): string {
    return `${this.address}:${ports.callers}`;
  }

  get addresses(): string {
    return `${this.address}:${ports.addresses}`;
  }
}

/** All processes, servers and proxies of one soak run. */
export class SoakFleet {
  readonly runsByAttempt = new Map<string, number>();
  readonly routers: SoakRouter[] = [];
  readonly backends: SoakBackend[] = [];
  readonly backendProxies: FaultProxy[] = [];
  private readonly folder = fs.mkdtempSync(path.join(os.tmpdir(), 'soak-'));

  private constructor(
    readonly platform: PublishedStateServer,
    readonly platformProxy: FaultProxy,
  ) {}

  static async start(routers: number, backends: number): Promise<SoakFleet> {
    const platform = await PublishedStateServer.start();
    const link = await FaultProxy.start(platform.port);
    const fleet = new SoakFleet(platform, link);
    for (let i = 0; i < backends; i++) await fleet.addBackend();
    fleet.publishServers(() => ServerState.Ready);
    platform.state.publishDeployment(sampleDeployment);
    const store = `127.0.0.1:${link.port}`;
    for (let i = 0; i < routers; i++) {
      const router = new SoakRouter(i, fleet.folder, store);
      fleet.routers.push(router);
      router.start();
    }
    return fleet;
  }

  /** Publishes all backend servers with the given states. */
  publishServers(getState: (index: number) => ServerState): void {
    const servers = this.backendProxies.map(({port}, index): BackendServer => ({
      id: `server-${index}`,
      service: 'shop',
      host: '127.0.0.1',
      port,
      zone: 'a',
      slots: 16,
      state: getState(index),
      warmUpMs: 0,
    }));
    this.platform.state.publishServers(servers);
  }

  /** Publishes a newer version of the same deployment. */
  publishDeployment(): void {
    const {state} = this.platform;
    const version = (state.deployment?.version ?? 0) + 1;
    state.publishDeployment({...sampleDeployment, version});
  }

  async waitForAllReady(): Promise<boolean> {
    const endsAtMs = performance.now() + 10_000;
    while (performance.now() < endsAtMs) {
      const ready = await Promise.all(this.routers.map(r => r.isReady()));
      if (ready.every(Boolean)) return true;
      await new Promise(resolve => setTimeout(resolve, 50));
    }
    return false;
  }

  async stop(): Promise<void> {
    for (const router of this.routers) router.signal('SIGKILL');
    await Promise.all(this.routers.map(router => router.waitForExit()));
    for (const link of [...this.backendProxies, this.platformProxy])
      link.stop();
    for (const backend of this.backends) backend.stop();
    this.platform.stop();
    fs.rmSync(this.folder, {recursive: true});
  }

  private async addBackend(): Promise<void> {
    const backend = await SoakBackend.start(this.runsByAttempt);
    this.backends.push(backend);
    this.backendProxies.push(await FaultProxy.start(backend.port));
  }
}
