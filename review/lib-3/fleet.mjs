/**
 * Stand-ins for the platform's store and for runners, and router processes that
 * are started by the command of the deploy file. All addresses are loopback.
 */
import {Buffer} from 'node:buffer';
import {spawn} from 'node:child_process';
import fs from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import os from 'node:os';
import path from 'node:path';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {clearTimeout, setTimeout} from 'node:timers';
import {fileURLToPath, URL} from 'node:url';

const root = fileURLToPath(new URL('../..', import.meta.url));

/** Processes that are running, and folders with their settings. */
const children = new Set();
const folders = new Set();

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

/** Addresses of one run: no two runs at the same time share them. */
const block = `127.${20 + (process.pid % 200)}.${(process.pid >> 8) % 250}`;
export const addressOf = number => `${block}.${number}`;

/** Finds a port that is free on loopback. */
export async function findPort(host = '127.0.0.1') {
  const server = net.createServer();
  await new Promise(resolve => server.listen(0, host, resolve));
  const {port} = server.address();
  await new Promise(resolve => server.close(resolve));
  return port;
}

/** The platform's store: items, reads and watches. */
export class Store {
  items = new Map();
  revision = 100;
  events = [];
  watchers = new Set();

  async start() {
    this.server = http.createServer((request, response) =>
      this.answer(request, response),
    );
    await new Promise(resolve => this.server.listen(0, '127.0.0.1', resolve));
    this.address = `127.0.0.1:${this.server.address().port}`;
  }

  write(key, value) {
    this.revision += 1;
    const item = {
      key,
      value: Buffer.from(JSON.stringify(value)).toString('base64'),
      revision: this.revision,
      created: this.items.get(key)?.created ?? this.revision,
      lease: 0,
    };
    this.items.set(key, item);
    this.emit(item);
  }

  remove(key) {
    if (!this.items.delete(key)) return;
    this.revision += 1;
    this.emit({key, revision: this.revision, deleted: true});
  }

  emit(event) {
    this.events.push(event);
    for (const watcher of [...this.watchers]) watcher();
  }

  async answer(request, response) {
    const url = new URL(request.url, 'http://store');
    const get = name => url.searchParams.get(name);
    const prefix = get('prefix') ?? '';
    const send = (status, body) => {
      response.setHeader('Content-Type', 'application/json');
      response.statusCode = status;
      response.end(JSON.stringify(body));
    };
    await sleep(4);
    if (url.pathname === '/-/kv-range') {
      const entries = [...this.items.values()]
        .filter(({key}) => key.startsWith(prefix) && key > (get('after') ?? ''))
        .sort((a, b) => (a.key < b.key ? -1 : 1));
      return send(200, {entries, hasMore: false, at: this.revision});
    }
    if (url.pathname !== '/-/kv-watch') return send(404, {});
    const after = Number(get('after'));
    if (after > this.revision) return send(410, {});
    const list = () =>
      this.events.filter(e => e.key.startsWith(prefix) && e.revision > after);
    const endsAt = performance.now() + Number(get('waitMs'));
    while (list().length === 0 && performance.now() < endsAt) {
      await new Promise(resolve => {
        const wake = () => {
          clearTimeout(timer);
          this.watchers.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, endsAt - performance.now());
        this.watchers.add(wake);
      });
    }
    send(200, {events: list(), at: this.revision});
  }
}

/** A router process, started by the command of the deploy file. */
export class Router {
  log = '';
  constructor(number, options) {
    this.number = number;
    this.ip = addressOf(10 + number);
    this.options = options;
    this.file = path.join(options.folder, `router-${number}.json`);
  }

  start(bootstrap = false) {
    const {ports, store, seeds, bounds, limits, zone = 'zone-a'} = this.options;
    const at = port => `${this.ip}:${port}`;
    const zones = {'zone-a': 'area'};
    const fields = {
      nodeName: `edge-${this.number}`,
      zone,
      ip: this.ip,
      zones,
      internalPorts: [ports.exchange, ports.exchange],
      seedNodes: seeds,
      bootstrap,
      platform: {address: store},
      limits: {
        cpuRatio: 0.459,
        speedFactor: 1,
        memoryMb: 272,
        linkMbps: 490,
        ...limits,
      },
      listen: {
        frontend: at(ports.callers),
        ready: at(ports.ready),
        controlPlane: at(ports.peers),
        directoryAddr: at(ports.addresses),
      },
      bounds: {
        contactMs: 3000,
        drainMs: 2000,
        graceS: 8,
        retryBudgetRatio: 0.2,
        budgetWindowS: 10,
        retrySlack: 104,
        ttl_max_s: 5,
        ...bounds,
      },
    };
    const deploy = fs.readFileSync(
      path.join(root, 'deploy/system.toml'),
      'utf8',
    );
    const command = /^run = "(.*)"$/m.exec(deploy)[1];
    const template = fs.readFileSync(
      path.join(root, /^template = "(.*)"$/m.exec(deploy)[1]),
      'utf8',
    );
    fs.writeFileSync(this.file, render(template, fields));
    const words = command
      .split(' ')
      .map(word => (word === '/etc/anvilstall/node.toml' ? this.file : word));
    this.startedAt = performance.now();
    this.child = spawn(process.execPath, words.slice(1), {
      cwd: root,
      env: {PATH: process.env.PATH, ROUTER_ZONES: JSON.stringify(zones)},
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const {child} = this;
    children.add(child);
    child.stdout.on('data', bytes => (this.log += bytes));
    child.stderr.on('data', bytes => (this.log += bytes));
    child.on('exit', (code, signal) => {
      children.delete(child);
      this.options.recordExit?.(this, code, signal);
    });
  }

  get callers() {
    return {host: this.ip, port: this.options.ports.callers};
  }

  signal(name) {
    this.child.kill(name);
  }

  async isReady() {
    return new Promise(resolve => {
      const request = http.get(
        {
          host: this.ip,
          port: this.options.ports.ready,
          path: '/-/readyz',
          timeout: 500,
        },
        response => {
          response.resume();
          resolve(response.statusCode === 200);
        },
      );
      request.on('error', () => resolve(false));
      request.on('timeout', () => request.destroy());
    });
  }

  async waitForExit() {
    const {child} = this;
    if (!child || child.exitCode !== null || child.signalCode !== null) return;
    await new Promise(resolve => child.once('exit', resolve));
  }
}

function render(template, fields) {
  return template.replace(/{{([\w.]+)(\|json)?}}/g, (_all, name, isJson) => {
    const value = name.split('.').reduce((v, key) => v?.[key], fields);
    if (isJson) return JSON.stringify(value ?? null);
    if (value === undefined || value === null) return '';
    return typeof value === 'object' ? JSON.stringify(value) : String(value);
  });
}

/** Creates routers that share a store, and starts them. */
export async function startRouters(count, options) {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'review-'));
  folders.add(folder);
  const ports = {};
  for (const name of ['callers', 'ready', 'addresses', 'peers', 'exchange']) {
    ports[name] = await findPort(addressOf(10));
  }
  const seeds = [0, 1, 2]
    .filter(i => i < count)
    .map(i => `${addressOf(10 + i)}:${ports.peers}`);
  const routers = Array.from(
    {length: count},
    (_, i) => new Router(i, {folder, ports, seeds, ...options}),
  );
  for (const router of routers) router.start(options.bootstrap ?? true);
  const endsAt = performance.now() + 15_000;
  for (;;) {
    const ready = await Promise.all(routers.map(router => router.isReady()));
    if (ready.every(Boolean)) break;
    if (performance.now() > endsAt) throw new Error('routers not ready');
    await sleep(100);
  }
  return routers;
}

/** Ends all processes of this run and removes their settings. */
export function stopAll() {
  for (const child of children) child.kill('SIGKILL');
  for (const folder of folders) {
    fs.rmSync(folder, {recursive: true, force: true});
  }
}

/** A configuration with the kinds of request of a small deployment. */
export function buildConfig(version = 1, change = {}) {
  return {
    version,
    routes: [
      {
        name: 'order',
        host: 'shop.example',
        prefix: '/order/',
        routeType: 'unsafe',
        service: 'catalogue',
        timeoutMs: 1_500,
        goalMs: 386,
        priority: 2,
        maxAttempts: 1,
      },
      {
        name: 'status',
        host: 'shop.example',
        prefix: '/status/',
        routeType: 'safe',
        service: 'catalogue',
        timeoutMs: 1_500,
        goalMs: 386,
        priority: 2,
        maxAttempts: 3,
      },
      {
        name: 'draft',
        host: 'shop.example',
        prefix: '/draft/',
        routeType: 'stream',
        service: 'pen',
        timeoutMs: 4_000,
        goalMs: 500,
        gapTargetMs: 300,
        priority: 1,
        maxAttempts: 2,
        resumable: true,
        sticky: true,
      },
    ],
    services: [
      {name: 'catalogue', healthPath: '/healthz', maxConns: 192},
      {
        name: 'pen',
        healthPath: '/healthz',
        maxConns: 720,
        engine: {
          slots: 64,
          kvCapacityTokens: 429_393,
          kvBytes: 1_000,
          linkMbps: 10_000,
        },
      },
    ],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 1_048_576,
      headerTimeoutMs: 5_000,
      idleTimeoutMs: 10_000,
    },
    tenants: [{name: 'museum', apiKeys: ['key-museum']}],
    ...change,
  };
}

export const stamp = '3e1b.07.5a2.600.0.c9f2a4d1';

/** A runner that registers itself in the store. */
export class Runner {
  /** Requests as they began, in order. */
  runs = [];
  born = Date.now();
  state = 'ready';
  isAlive = true;

  constructor(id, service, store, options = {}) {
    Object.assign(this, {
      id,
      service,
      store,
      slots: 64,
      zone: 'zone-a',
      ...options,
    });
  }

  async start() {
    await this.listen(0);
    this.address = `127.0.0.1:${this.server.address().port}`;
    this.register();
  }

  async listen(port) {
    this.server = http.createServer((request, response) =>
      this.receive(request, response),
    );
    this.server.keepAliveTimeout = 30_000;
    await new Promise(resolve =>
      this.server.listen(port, '127.0.0.1', resolve),
    );
  }

  register() {
    this.store.write(`servers/${this.id}`, {
      service: this.service,
      address: this.address,
      zone: this.zone,
      version: '1',
      slots: this.slots,
      state: this.state,
      coldLeftMs: 0,
      seqNo: (this.seqNo = (this.seqNo ?? 0) + 1),
      born: this.born,
    });
  }

  async receive(request, response) {
    const parts = [];
    request.on('error', () => undefined);
    response.on('error', () => undefined);
    for await (const part of request) parts.push(part);
    const body = Buffer.concat(parts);
    const {headers} = request;
    const attempt = headers['attempt-id'];
    const head = {'Attempt-Id': attempt, 'Runner-Stamp': stamp};
    const expected = headers['expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      response
        .writeHead(421, {'Attempt-Id': attempt, 'Instance-Id': this.id})
        .end();
      return;
    }
    const run = {
      attempt,
      at: performance.now(),
      url: request.url,
      body,
      headers,
      request,
      response,
    };
    if (this.handle) return this.handle(run, head);
    this.runs.push(run);
    await sleep(this.workMs ?? 20);
    response.writeHead(200, head).end(`answer to ${attempt}`);
  }
}

/** Sends one request; resolves to what its caller saw, and never rejects. */
export function call(
  to,
  {path: target, attempt, body = 'x', agent, headers = {}, deadlineMs = 1_500},
) {
  const sentAt = performance.now();
  return new Promise(resolve => {
    const result = {
      attempt,
      target,
      sentAt,
      status: 0,
      isComplete: false,
      body: '',
    };
    const settle = () => resolve({...result, endedAt: performance.now()});
    const request = http.request(
      {
        ...to,
        method: 'POST',
        path: target,
        agent,
        headers: {
          Host: 'shop.example',
          'Attempt-Id': attempt,
          'Deadline-Ms': String(deadlineMs),
          Authorization: 'Token key-museum',
          ...headers,
        },
      },
      response => {
        result.status = response.statusCode;
        result.headers = response.headers;
        response.setEncoding('utf8');
        response.on('data', text => (result.body += text));
        response.on('end', () => (result.isComplete = response.complete));
        response.on('error', () => undefined);
      },
    );
    const timer = setTimeout(() => {
      result.isTimedOut = true;
      request.destroy();
    }, deadlineMs + 500);
    request.on('close', () => {
      clearTimeout(timer);
      settle();
    });
    request.on('error', error => (result.error = error.code ?? error.message));
    request.end(body);
  });
}

/**
 * A runner that some requests crash: its channels end, nothing listens at its
 * address any more, and it is back after some seconds as a new process under the
 * same id.
 */
export class CrashingRunner extends Runner {
  crashes = [];
  downMs = 2_500;

  crash() {
    if (this.isDown) return;
    this.isDown = true;
    this.crashes.push(performance.now());
    this.recordCrash?.();
    const {port} = this.server.address();
    this.server.close();
    this.server.closeAllConnections();
    setTimeout(() => this.restart(port), this.downMs);
  }

  async restart(port) {
    this.born = Date.now();
    await this.listen(port);
    this.isDown = false;
    this.register();
  }
}

/** Lists the times of the crashes of all runners, sorted. */
export function listCrashes(runners) {
  return runners.flatMap(({crashes}) => crashes).sort((a, b) => a - b);
}
