/**
 * Stand-ins for a small deployment on loopback addresses: the platform's store,
 * the processes of the deploy file, sound servers and callers. They follow the
 * users' pages and know nothing of the router's code.
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
import {clearTimeout, setInterval, setTimeout} from 'node:timers';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath, URL} from 'node:url';

const repository = fileURLToPath(new URL('../..', import.meta.url));

/** A folder that is removed at the end of the process. */
export const workFolder = fs.mkdtempSync(path.join(os.tmpdir(), 'review-'));

/** All processes that this run has started. */
const allRouters = new Set();
/** Longest duration of a case; one that takes longer couldn't run. */
const maxRunMs = 110_000;

function giveUp(cause) {
  process.stderr.write(`the case could not run: ${cause}\n`);
  for (const router of allRouters) router.child?.kill('SIGKILL');
  fs.rmSync(workFolder, {recursive: true, force: true});
  process.exit(2);
}
process.on('uncaughtException', error => giveUp(error.stack));
process.on('SIGTERM', () => giveUp('SIGTERM'));
process.on('SIGINT', () => giveUp('SIGINT'));
process.on('SIGHUP', () => giveUp('SIGHUP'));
setTimeout(() => giveUp('it took too long'), maxRunMs).unref();

/** Loopback network of this run, so that runs side by side don't collide. */
const network = `127.${20 + (process.pid % 200)}.${1 + (Math.floor(process.pid / 200) % 250)}`;

/**
 * Longest delay of the event loop of this process, which is the one of all
 * stand-ins, in milliseconds. What the test measures may be wrong by as much.
 */
export function measureOwnDelayMs() {
  return longestDelayMs;
}
let longestDelayMs = 0;
let checkedAtMs = performance.now();
const delayCheckMs = 20;
setInterval(() => {
  const nowMs = performance.now();
  longestDelayMs = Math.max(longestDelayMs, nowMs - checkedAtMs - delayCheckMs);
  checkedAtMs = nowMs;
}, delayCheckMs).unref();

export function buildAddress(number) {
  return `${network}.${number}`;
}

let recorder;

/** Writes to the console and to the record of the case. */
export class Recorder {
  constructor(folder) {
    recorder = this;
    this.file = fs.openSync(path.join(folder, 'record.txt'), 'w');
    this.startedAtMs = performance.now();
  }

  write(text) {
    const seconds = (performance.now() - this.startedAtMs) / 1_000;
    fs.writeSync(this.file, `${seconds.toFixed(3)} ${text}\n`);
  }

  /** Writes a line that is also shown. */
  show(text) {
    this.write(text);
    process.stdout.write(`${text}\n`);
  }
}

/** The platform's metadata store: reads, pages and watches. */
export class Store {
  revision = 100;
  items = new Map();
  history = [];
  waiting = new Set();

  static async start(host) {
    const store = new Store();
    store.server = http.createServer((request, response) =>
      store.answer(request, response),
    );
    await new Promise(resolve => store.server.listen(0, host, resolve));
    store.address = `${host}:${store.server.address().port}`;
    return store;
  }

  put(key, value) {
    this.revision += 1;
    const text = typeof value === 'string' ? value : JSON.stringify(value);
    const known = this.items.get(key);
    const item = {
      key,
      value: Buffer.from(text).toString('base64'),
      revision: this.revision,
      created: known?.created ?? this.revision,
      lease: 0,
    };
    this.items.set(key, item);
    this.notify(item);
  }

  remove(key) {
    this.revision += 1;
    this.items.delete(key);
    this.notify({key, revision: this.revision, deleted: true});
  }

  notify(event) {
    this.history.push(event);
    for (const wake of [...this.waiting]) wake();
  }

  async answer(request, response) {
    const {pathname, searchParams} = new URL(request.url, 'http://store');
    const prefix = searchParams.get('prefix') ?? '';
    const send = (status, body) => {
      if (response.destroyed) return;
      const text = JSON.stringify(body);
      response.writeHead(status, {
        'content-type': 'application/json',
        'content-length': Buffer.byteLength(text),
      });
      response.end(text);
    };
    await delay(4);
    if (pathname === '/-/kv-key') {
      const item = this.items.get(searchParams.get('key'));
      send(item ? 200 : 404, {...item, at: this.revision});
      return;
    }
    if (pathname === '/-/kv-range') {
      const after = searchParams.get('after') ?? '';
      const entries = [...this.items.values()]
        .filter(({key}) => key.startsWith(prefix) && key > after)
        .sort((a, b) => (a.key < b.key ? -1 : 1));
      send(200, {entries, hasMore: false, at: this.revision});
      return;
    }
    if (pathname === '/-/kv-watch') {
      const after = Number(searchParams.get('after'));
      const endsAtMs =
        performance.now() + Number(searchParams.get('waitMs') ?? 0);
      for (;;) {
        const events = this.history.filter(
          ({key, revision}) => revision > after && key.startsWith(prefix),
        );
        const leftMs = endsAtMs - performance.now();
        if (events.length > 0 || leftMs <= 0 || response.destroyed) {
          send(200, {events, at: this.revision});
          return;
        }
        await new Promise(resolve => {
          const wake = () => {
            clearTimeout(timer);
            this.waiting.delete(wake);
            resolve();
          };
          const timer = setTimeout(wake, leftMs);
          this.waiting.add(wake);
        });
      }
    }
    send(404, {});
  }
}

/** Settings of a process, as the platform knows them. */
export function buildFields({number, zone, zones, store, seeds, bounds}) {
  const ip = buildAddress(number);
  return {
    nodeName: `edge-${zone}-${number}`,
    ip,
    zone,
    zones: Object.fromEntries(zones.map(name => [name, 'area'])),
    internalPorts: [7_200, 7_215],
    seedNodes: seeds.map(seed => `${buildAddress(seed)}:8748`),
    bootstrap: true,
    listen: {
      frontend: `${ip}:8740`,
      ready: `${ip}:8749`,
      controlPlane: `${ip}:8748`,
      directoryAddr: `${ip}:8746`,
    },
    limits: {
      cpuRatio: 0.459,
      speedFactor: 1,
      memoryMb: 272,
      maxFds: 2_118,
      linkMbps: 490,
    },
    bounds: {
      contactMs: 3_000,
      drainMs: 2_000,
      graceS: 8,
      configApplyMs: 2_000,
      retryBudgetRatio: 0.2,
      budgetWindowS: 10,
      retrySlack: 104,
      ttl_max_s: 5,
      ...bounds,
    },
    platform: {address: store},
  };
}

/** Fills a template in, as the page on the deploy file describes it. */
export function fillTemplate(text, scopes) {
  const section = /\{\{([#^])([^}]+)\}\}([\s\S]*?)\{\{\/\2\}\}/;
  const match = section.exec(text);
  if (match) {
    const [whole, kind, name, inner] = match;
    const value = lookUp(scopes, name);
    let filled = '';
    if (kind === '^') {
      if (!value) filled = fillTemplate(inner, scopes);
    } else if (value !== null && typeof value === 'object') {
      const entries = Object.entries(value);
      filled = entries
        .map(([key, entry], index) =>
          fillTemplate(inner, [
            {'.': entry, '@': key, ',': index + 1 < entries.length ? ',' : ''},
            ...scopes,
          ]),
        )
        .join('');
    } else if (value) filled = fillTemplate(inner, scopes);
    const before = text.slice(0, match.index);
    const after = text.slice(match.index + whole.length);
    return fillTemplate(before, scopes) + filled + fillTemplate(after, scopes);
  }
  return text.replace(/\{\{([^}]+)\}\}/g, (_, name) => {
    const [plain, isJson] = name.split('|');
    const value = lookUp(scopes, plain);
    if (isJson) return JSON.stringify(value);
    return value === undefined ? '' : String(value);
  });
}

function lookUp(scopes, name) {
  for (const scope of scopes) {
    if (name in scope) return scope[name];
    const value = name.split('.').reduce((part, key) => part?.[key], scope);
    if (value !== undefined) return value;
  }
  return undefined;
}

/** One process of the deploy file; started again when it ends, as there. */
export class RouterProcess {
  exits = [];
  isWanted = true;

  constructor(fields, recorder) {
    this.fields = fields;
    this.recorder = recorder;
    this.name = fields.nodeName;
    this.callers = fields.listen.frontend;
    this.settings = path.join(workFolder, `${this.name}.json`);
    this.log = path.join(workFolder, `${this.name}.log`);
    allRouters.add(this);
  }

  start() {
    const deployFile = fs.readFileSync(
      path.join(repository, 'deploy/system.toml'),
      'utf8',
    );
    const [, run] = /^run = "(.*)"$/m.exec(deployFile);
    const [, template] = /^template = "(.*)"$/m.exec(deployFile);
    const text = fs.readFileSync(path.join(repository, template), 'utf8');
    fs.writeFileSync(this.settings, fillTemplate(text, [this.fields]));
    const words = run
      .split(' ')
      .map(word =>
        word === '/etc/anvilstall/node.toml' ? this.settings : word,
      );
    const log = fs.openSync(this.log, 'a');
    this.child = spawn(process.execPath, words.slice(1), {
      cwd: repository,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        ANVILSTALL_BOOT: this.settings,
      },
      stdio: ['ignore', log, log],
    });
    fs.closeSync(log);
    this.startedAtMs = performance.now();
    this.child.once('exit', (code, signal) => {
      const end = {atMs: performance.now(), code, signal, asked: this.asked};
      this.exits.push(end);
      this.recorder?.write(`${this.name} ended: code ${code} signal ${signal}`);
      this.fields.bootstrap = false;
      this.asked = undefined;
      if (this.isWanted) setTimeout(() => this.isWanted && this.start(), 300);
    });
  }

  signal(name) {
    this.asked = name;
    this.recorder?.write(`${this.name} gets ${name}`);
    this.child.kill(name);
  }

  /** Exits that nobody asked for. */
  get ownExits() {
    return this.exits.filter(({asked}) => asked === undefined);
  }

  get memoryMb() {
    try {
      const text = fs.readFileSync(`/proc/${this.child.pid}/status`, 'utf8');
      return Number(/VmRSS:\s+(\d+)/.exec(text)?.[1] ?? 0) / 1_024;
    } catch {
      return 0;
    }
  }

  async isReady() {
    return (await this.askReady(300)) === 200;
  }

  askReady(timeoutMs) {
    const [host, port] = this.fields.listen.ready.split(':');
    return new Promise(resolve => {
      const request = http.get(
        {host, port, path: '/-/readyz', timeout: timeoutMs, agent: false},
        response => {
          response.resume();
          resolve(response.statusCode);
        },
      );
      request.on('timeout', () => request.destroy());
      request.on('error', () => resolve(0));
    });
  }

  async stop() {
    this.isWanted = false;
    const {child} = this;
    if (!child || child.exitCode !== null || child.signalCode !== null) return;
    this.asked = 'SIGKILL';
    const ended = new Promise(resolve => child.once('exit', resolve));
    child.kill('SIGKILL');
    await ended;
  }
}

export async function waitForReady(routers, timeoutMs = 15_000) {
  const endsAtMs = performance.now() + timeoutMs;
  while (performance.now() < endsAtMs) {
    const ready = await Promise.all(routers.map(router => router.isReady()));
    if (ready.every(Boolean)) return true;
    await delay(50);
  }
  return false;
}

/** Body of a sound plain answer. */
export function buildAnswerText(attemptId) {
  return `answer to ${attemptId} `.repeat(30);
}

/** Events of a sound stream. */
export function buildEvents(attemptId, count) {
  return Array.from(
    {length: count},
    (_, index) => `id: ${index + 1}\ndata: ${attemptId} part ${index + 1}\n\n`,
  );
}

/**
 * A sound server. `work` gets the request, its body and the response, and may
 * replace the usual answer.
 */
export class SoundServer {
  /** Requests that arrived, by attempt id. */
  arrivals = new Map();
  /** Requests that are running. */
  active = 0;
  /** Starts of the requests that wait for a slot. */
  waiting = [];

  static async start(host, options) {
    const server = new SoundServer();
    Object.assign(server, {slots: 64, workMs: 60, events: 9, gapMs: 30});
    Object.assign(server, options);
    server.http = http.createServer((request, response) =>
      server.handle(request, response),
    );
    server.http.keepAliveTimeout = 30_000;
    await new Promise(resolve => server.http.listen(0, host, resolve));
    server.address = `${host}:${server.http.address().port}`;
    return server;
  }

  /** Writes the server's entry into the store. */
  register(store, state = 'ready') {
    this.beats = (this.beats ?? 0) + 1;
    store.put(`servers/${this.id}`, {
      service: this.service,
      address: this.address,
      zone: this.zone,
      version: 'v1',
      slots: this.slots,
      state,
      coldLeftMs: 0,
      stage: 'both',
      models: [{name: 'm', version: 1, adapters: []}],
      seqNo: this.beats,
      born: (this.born ??= Date.now()),
    });
  }

  handle(request, response) {
    const chunks = [];
    request.on('data', chunk => chunks.push(chunk));
    request.on('error', () => undefined);
    response.on('error', () => undefined);
    request.on('end', () => {
      const attemptId = request.headers['attempt-id'];
      const expected = request.headers['expect-instance'];
      if (expected !== undefined && expected !== this.id) {
        response.writeHead(421, {'instance-id': this.id, 'not-executed': '1'});
        response.end();
        return;
      }
      const count = (this.arrivals.get(attemptId) ?? 0) + 1;
      this.arrivals.set(attemptId, count);
      const body = Buffer.concat(chunks);
      const start = () => this.start({request, response, body, attemptId});
      if (this.active < this.slots) start();
      else this.waiting.push(start);
    });
  }

  /** Runs a request in a slot, unless its channel has been closed. */
  start(exchange) {
    const {request, response, attemptId} = exchange;
    const startNext = () => this.waiting.shift()?.();
    if (response.destroyed) {
      startNext();
      return;
    }
    this.active += 1;
    response.once('close', () => {
      this.active -= 1;
      startNext();
    });
    recorder.write(`${this.id} runs ${attemptId}`);
    if (this.work?.(exchange)) return;
    void this.answer(request, response, attemptId);
  }

  buildHead(attemptId) {
    return {
      'attempt-id': attemptId,
      'runner-stamp': `stamp.${this.id}.${attemptId}`,
      'runner-load': `${this.active},${this.waiting.length},${this.slots}`,
    };
  }

  async answer(request, response, attemptId) {
    if (request.headers['prompt-prefix'] === undefined) {
      await delay(this.workMs);
      const text = buildAnswerText(attemptId);
      response.writeHead(200, {
        ...this.buildHead(attemptId),
        'content-type': 'text/plain',
        'content-length': Buffer.byteLength(text),
      });
      response.end(text);
      return;
    }
    await delay(this.workMs);
    response.writeHead(200, {
      ...this.buildHead(attemptId),
      'content-type': 'text/event-stream',
    });
    for (const event of buildEvents(attemptId, this.events)) {
      if (response.destroyed) return;
      response.write(event);
      await delay(this.gapMs);
    }
    response.end();
  }

  stop() {
    this.http.close();
    this.http.closeAllConnections();
  }
}

/** Number of daemons that a caller asks for addresses, and time for each. */
const maxLookups = 3;
const lookupTimeoutMs = 1_000;

/**
 * A caller with one kept channel, which carries one request at a time. It asks the
 * directory for addresses as often as these say, takes one at random, keeps to it,
 * and passes over those that have failed it until it has asked again.
 */
export class CallerChannel {
  addresses = [];
  expiresAtMs = -Infinity;
  failed = new Set();

  constructor(routers) {
    this.routers = routers;
  }

  /** Takes an address; opens a new channel if it is another one. */
  async chooseAddress() {
    if (performance.now() >= this.expiresAtMs) await this.lookUp();
    const {address, addresses, failed} = this;
    if (addresses.includes(address) && !failed.has(address)) return;
    const others = addresses.filter(other => !failed.has(other));
    const list = others.length > 0 ? others : addresses;
    this.close();
    this.address = list[Math.floor(Math.random() * list.length)];
    const [host, port] = this.address.split(':');
    this.target = {host, port: Number(port)};
    this.agent = new http.Agent({keepAlive: true, maxSockets: 1});
  }

  async lookUp() {
    const order = [...this.routers].sort(() => Math.random() - 0.5);
    for (const router of order.slice(0, maxLookups)) {
      const answer = await askDirectory(router.fields.listen.directoryAddr);
      if (!answer?.addresses?.length) continue;
      this.addresses = answer.addresses;
      this.expiresAtMs = performance.now() + answer.ttlS * 1_000;
      this.failed.clear();
      return;
    }
    if (this.addresses.length === 0) {
      this.addresses = this.routers.map(({callers}) => callers);
    }
  }

  /** Sends a request; see `sendOn`. */
  async send(request) {
    await this.chooseAddress();
    const {address} = this;
    recorder.write(`${request.headers['attempt-id']} sent to ${address}`);
    const result = await this.sendOn(request);
    if (result.end === 'closed') this.failed.add(address);
    return {...result, address};
  }

  /**
   * Sends a request; resolves with what the caller sees. `end` is `answer`,
   * `closed`, `timeout` or, for a stream that was given up, `left`.
   *
   * @param gapMs - longest time without a piece of a stream that the caller waits
   */
  sendOn({method = 'POST', path: target, headers, body, deadlineMs, gapMs}) {
    const sentAtMs = performance.now();
    return new Promise(resolve => {
      const chunks = [];
      let status = 0;
      let head = {};
      let isDone = false;
      const finish = end => {
        if (isDone) return;
        isDone = true;
        clearTimeout(timer);
        clearTimeout(gapTimer);
        const text = Buffer.concat(chunks).toString('latin1');
        const ms = performance.now() - sentAtMs;
        resolve({end, status, headers: head, text, ms, sentAtMs, isReused});
      };
      let isReused = false;
      const request = http.request(
        {
          ...this.target,
          method,
          path: target,
          agent: this.agent,
          headers: {...headers, 'deadline-ms': String(deadlineMs)},
        },
        response => {
          status = response.statusCode;
          head = response.headers;
          response.on('data', chunk => {
            chunks.push(chunk);
            if (chunk.includes('data:')) watchGap();
          });
          response.on('end', () =>
            finish(response.complete ? 'answer' : 'closed'),
          );
          response.on('error', () => finish('closed'));
          response.on('aborted', () => finish('closed'));
        },
      );
      request.on('socket', () => (isReused = request.reusedSocket));
      request.on('error', () => finish('closed'));
      const leave = end => {
        finish(end);
        request.destroy();
      };
      const timer = setTimeout(() => leave('timeout'), deadlineMs);
      let gapTimer;
      const watchGap = () => {
        clearTimeout(gapTimer);
        if (gapMs === undefined || isDone) return;
        gapTimer = setTimeout(() => leave('left'), gapMs);
      };
      watchGap();
      request.end(body);
    });
  }

  close() {
    this.agent?.destroy();
  }
}

function askDirectory(endpoint) {
  const [host, port] = endpoint.split(':');
  const query = 'name=shop.example&region=area&zone=zone-a';
  return new Promise(resolve => {
    const request = http.get(
      {host, port, path: `/-/resolve?${query}`, agent: false},
      response => {
        const chunks = [];
        response.on('data', chunk => chunks.push(chunk));
        response.on('error', () => resolve(undefined));
        response.on('end', () => {
          const isFound = response.statusCode === 200;
          resolve(isFound ? JSON.parse(Buffer.concat(chunks)) : undefined);
        });
      },
    );
    request.setTimeout(lookupTimeoutMs, () => request.destroy());
    request.on('error', () => resolve(undefined));
  });
}

/** Ends all processes and servers of the run, and the process. */
export async function finishRun({routers, servers, store}, exitCode) {
  await Promise.all(routers.map(router => router.stop()));
  for (const server of servers) server.stop();
  store?.server.close();
  store?.server.closeAllConnections();
  if (process.env.KEEP_LOGS) {
    process.stdout.write(`logs: ${workFolder}\n`);
  } else fs.rmSync(workFolder, {recursive: true, force: true});
  process.exit(exitCode);
}

/** A TCP server of the test's own making. */
export async function listenRaw(host, handle) {
  const server = net.createServer(handle);
  await new Promise(resolve => server.listen(0, host, resolve));
  server.on('error', () => undefined);
  return server;
}
