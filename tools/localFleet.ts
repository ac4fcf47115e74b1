/** Starts a fleet and its stand-ins as processes on loopback addresses. */
import crypto from 'node:crypto';
import fs from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {request} from 'undici';
import type {Configuration} from '../src/config/configuration.js';
import type {Settings} from '../src/config/settings.js';
import type {ConfigStatus} from '../src/node/configStore.js';
import {MemberState, type Member} from '../src/protocol/memberMessages.js';
import {VmState, type VmList} from '../src/protocol/platformApi.js';
import {ManagedProcess} from './managedProcess.js';
import {
  buildConfiguration,
  deploymentShapes,
  Region,
  type DeploymentShape,
} from './sampleDeployments.js';

const ports = {
  callers: 18_080,
  gatewayPeers: 17_401,
  dispatcherPeers: 17_402,
  gatewayOperators: 17_403,
  dispatcherOperators: 17_404,
};
const standinPort = 19_000;
const readyTimeoutMs = 30_000;
const pollIntervalMs = 50;

/** Options of a fleet; members of its shape override the region's defaults. */
export interface LocalFleetOptions extends Partial<DeploymentShape> {
  region: Region;
  /** Command-line flags of every model engine, e.g. `{stepMs: 5}`. */
  engineFlags?: Record<string, string | number>;
  /** Command-line flags of every plain service. */
  serviceFlags?: Record<string, string | number>;
  /** Modifies the configuration before the platform publishes it. */
  editConfiguration?: (configuration: Configuration) => void;
  logLevel?: Settings['logLevel'];
  /** Timing of a gateway's graceful shutdown. */
  leave?: Settings['leave'];
}

/** An entry VM: a gateway and a dispatcher that share an address. */
export interface LocalVm {
  name: string;
  zone: string;
  address: string;
  callerUrl: string;
  settingsFile: string;
  gateway: ManagedProcess;
  dispatcher: ManagedProcess;
}

/** Dump of a daemon, with the parts that all daemons have. */
export interface DaemonDump {
  self: Member;
  members: Member[];
  configuration: ConfigStatus;
  memoryBytes: number;
  [part: string]: unknown;
}

/** A stand-in process. */
export interface LocalStandin {
  id: string;
  url: string;
  address: string;
  process: ManagedProcess;
}

/**
 * A running fleet. `stop` ends every process that it started.
 *
 * @example
 * const fleet = await LocalFleet.start({region: Region.Kaap, vms: 2});
 * try { await fetch(`${fleet.vms[0].callerUrl}/v1/addresses`); }
 * finally { await fleet.stop(); }
 */
export class LocalFleet {
  readonly vms: LocalVm[] = [];
  readonly engines: LocalStandin[] = [];
  readonly services: LocalStandin[] = [];
  readonly keys = {
    peer: crypto.randomBytes(24).toString('base64url'),
    operator: crypto.randomBytes(24).toString('base64url'),
  };
  platform!: LocalStandin;
  private readonly folder = fs.mkdtempSync(
    path.join(os.tmpdir(), 'anvilstall-'),
  );
  // A random loopback network, so that concurrent fleets don't collide.
  private readonly network = `127.${10 + crypto.randomInt(200)}.${crypto.randomInt(250)}`;
  private readonly processes: ManagedProcess[] = [];

  private constructor(
    readonly shape: DeploymentShape,
    private readonly options: LocalFleetOptions,
  ) {}

  /** Starts stand-ins and VMs and waits until every daemon is ready. */
  static async start(options: LocalFleetOptions): Promise<LocalFleet> {
    const shape = {...deploymentShapes[options.region], ...options};
    const fleet = new LocalFleet(shape, options);
    try {
      await fleet.startAll();
      return fleet;
    } catch (error) {
      await fleet.stop();
      throw error;
    }
  }

  /** Kills all processes and removes the temporary files. */
  async stop(): Promise<void> {
    // Processes that are stopped by SIGSTOP only react to SIGKILL.
    await Promise.all(this.processes.map(child => child.kill()));
    fs.rmSync(this.folder, {recursive: true, force: true});
  }

  /** Kills the gateway of a VM and starts a new incarnation. */
  async restartGateway(vm: LocalVm): Promise<void> {
    await vm.gateway.kill();
    vm.gateway = this.spawn('gateway', ['--settings', vm.settingsFile]);
    await this.waitForReady(vm);
  }

  /** Kills the dispatcher of a VM and starts a new incarnation. */
  async restartDispatcher(vm: LocalVm): Promise<void> {
    await vm.dispatcher.kill();
    vm.dispatcher = this.spawn('dispatcher', ['--settings', vm.settingsFile]);
    await this.waitForReady(vm);
  }

  /** Shuts both daemons of a VM down gracefully and starts new incarnations. */
  async restartGracefully(vm: LocalVm): Promise<void> {
    vm.gateway.signal('SIGTERM');
    vm.dispatcher.signal('SIGTERM');
    await vm.gateway.waitForExit();
    await vm.dispatcher.waitForExit();
    vm.gateway = this.spawn('gateway', ['--settings', vm.settingsFile]);
    vm.dispatcher = this.spawn('dispatcher', ['--settings', vm.settingsFile]);
    await this.waitForReady(vm);
  }

  /** Reads a daemon's dump through its operator API. */
  async readDump(
    vm: LocalVm,
    role: 'gateway' | 'dispatcher',
  ): Promise<DaemonDump> {
    const response = await this.callOperator(vm, role, '/dump');
    return (await response.body.json()) as DaemonDump;
  }

  /** Sends a request to a daemon's operator API. */
  async callOperator(
    vm: LocalVm,
    role: 'gateway' | 'dispatcher',
    route: string,
    method: 'GET' | 'POST' = 'GET',
  ) {
    const port =
      role === 'gateway' ? ports.gatewayOperators : ports.dispatcherOperators;
    return request(`http://${vm.address}:${port}${route}`, {
      method,
      headers: {authorization: `Bearer ${this.keys.operator}`},
    });
  }

  /** Modifies the initial VM list and publishes it. */
  async writeVms(change: (list: VmList) => void): Promise<void> {
    const list = this.buildVmList();
    change(list);
    await this.writePlatform('PUT', '/write/vms', list);
  }

  /** Submits a configuration patch against a number to the platform. */
  async writePatch(
    baseNumber: number,
    operations: object[],
  ): Promise<{status: number; body: unknown}> {
    return this.writePlatform('POST', '/write/patch', {baseNumber, operations});
  }

  /** Injects faults into a stand-in. */
  async setFaults(standin: LocalStandin, body: object): Promise<void> {
    const response = await request(`${standin.url}/control`, {
      method: 'POST',
      headers: {'content-type': 'application/json'},
      body: JSON.stringify(body),
    });
    const text = await response.body.text();
    if (response.statusCode >= 300) {
      throw new Error(`${standin.id}: ${response.statusCode} ${text}`);
    }
  }

  /** Reads the counters of a stand-in. */
  async readCounters<T>(standin: LocalStandin): Promise<T> {
    const response = await request(`${standin.url}/control`);
    return (await response.body.json()) as T;
  }

  private async writePlatform(
    method: 'PUT' | 'POST',
    route: string,
    body: object,
  ): Promise<{status: number; body: unknown}> {
    const response = await request(`${this.platform.url}${route}`, {
      method,
      headers: {'content-type': 'application/json'},
      body: JSON.stringify(body),
    });
    const text = await response.body.text();
    return {
      status: response.statusCode,
      body: text === '' ? undefined : JSON.parse(text),
    };
  }

  private async startAll(): Promise<void> {
    const {shape, options} = this;
    for (let i = 0; i < shape.engines; i++) {
      this.engines.push(
        this.spawnStandin('standinEngine', `engine-${i + 1}`, `1${i + 1}`, {
          slots: 16,
          ...options.engineFlags,
        }),
      );
    }
    for (let i = 0; i < shape.services; i++) {
      const id = `${shape.service}-${i + 1}`;
      this.services.push(
        this.spawnStandin('standinService', id, `2${i + 1}`, {
          slots: 32,
          ...options.serviceFlags,
        }),
      );
    }
    this.startPlatform();
    const standins = [...this.engines, ...this.services, this.platform];
    await Promise.all(standins.map(standin => this.waitForStandin(standin)));
    for (let i = 0; i < shape.vms; i++) this.startVm(i);
    await Promise.all(this.vms.map(vm => this.waitForReady(vm)));
    await this.waitForFullMembership();
  }

  private startPlatform(): void {
    const configuration = buildConfiguration(this.shape, {
      engines: this.engines.map(standin => standin.address),
      services: this.services.map(standin => standin.address),
    });
    this.options.editConfiguration?.(configuration);
    const documentFile = this.writeFile('configuration.json', configuration);
    const vmsFile = this.writeFile('vms.json', this.buildVmList());
    this.platform = this.spawnStandin('standinPlatform', 'platform', '250', {
      documentFile,
      vmsFile,
    });
  }

  private startVm(index: number): void {
    const name = `vm-${index + 1}`;
    const address = this.getVmAddress(index);
    const settings: Settings = {
      vm: name,
      zone: this.getVmZone(index),
      address,
      operatorAddress: address,
      ports,
      platform: {configUrl: this.platform.url, vmListUrl: this.platform.url},
      keys: this.keys,
      leave: this.options.leave,
      logLevel: this.options.logLevel ?? 'warn',
    };
    const settingsFile = this.writeFile(`${name}.json`, settings);
    this.vms.push({
      name,
      zone: settings.zone,
      address,
      callerUrl: `http://${address}:${ports.callers}`,
      settingsFile,
      gateway: this.spawn('gateway', ['--settings', settingsFile]),
      dispatcher: this.spawn('dispatcher', ['--settings', settingsFile]),
    });
  }

  private spawnStandin(
    binary: string,
    id: string,
    host: string,
    flags: Record<string, string | number>,
  ): LocalStandin {
    const address = `${this.network}.${host}:${standinPort}`;
    const args = Object.entries({
      host: `${this.network}.${host}`,
      port: standinPort,
      ...flags,
    }).flatMap(([name, value]) => [`--${name}`, String(value)]);
    const child = this.spawn(binary, args);
    return {id, url: `http://${address}`, address, process: child};
  }

  private spawn(binary: string, args: string[]): ManagedProcess {
    const child = ManagedProcess.start(binary, args);
    this.processes.push(child);
    return child;
  }

  private buildVmList(): VmList {
    return {
      entryVms: Array.from({length: this.shape.vms}, (_, index) => ({
        vm: `vm-${index + 1}`,
        address: this.getVmAddress(index),
        zone: this.getVmZone(index),
        state: VmState.Live,
      })),
      backendServerVms: [...this.engines, ...this.services].map(standin => ({
        backendServer: standin.id,
        state: VmState.Live,
      })),
    };
  }

  private getVmAddress(index: number): string {
    return `${this.network}.${100 + index + 1}`;
  }

  private getVmZone(index: number): string {
    return this.shape.zones[index % this.shape.zones.length];
  }

  private writeFile(name: string, content: object): string {
    const file = path.join(this.folder, name);
    fs.writeFileSync(file, JSON.stringify(content, null, 2));
    return file;
  }

  private async waitForStandin(standin: LocalStandin): Promise<void> {
    await this.waitUntil(`${standin.id} listens`, async () => {
      const response = await request(`${standin.url}/control`);
      await response.body.dump();
      return response.statusCode === 200;
    });
  }

  private async waitForReady(vm: LocalVm): Promise<void> {
    for (const role of ['gateway', 'dispatcher'] as const) {
      await this.waitUntil(`${role} of ${vm.name} is ready`, async () => {
        const response = await this.callOperator(vm, role, '/ready');
        await response.body.dump();
        return response.statusCode === 200;
      });
    }
  }

  /** Waits until every gateway has learned of all members. */
  private async waitForFullMembership(): Promise<void> {
    for (const vm of this.vms) {
      await this.waitUntil(`${vm.name} knows all members`, async () => {
        const {members} = await this.readDump(vm, 'gateway');
        const present = members.filter(
          member => member.state === MemberState.Alive,
        );
        return present.length === 2 * this.vms.length;
      });
    }
  }

  /** Polls until a condition holds; treats errors of it as false. */
  async waitUntil(
    description: string,
    condition: () => Promise<boolean>,
    deadlineMs = readyTimeoutMs,
  ): Promise<void> {
    const endMs = performance.now() + deadlineMs;
    let lastError: unknown;
    while (performance.now() < endMs) {
      try {
        if (await condition()) return;
      } catch (error) {
        lastError = error;
      }
      await sleep(pollIntervalMs);
    }
    const ended = this.processes
      .filter(child => !child.isRunning())
      .map(child => `${child.name}: ${child.getOutput().slice(-2_000)}`);
    throw new Error(
      `timeout of ${deadlineMs} ms exceeded: ${description}; last error: ${String(lastError)}; processes that have exited: ${ended.join('\n')}`,
    );
  }
}
