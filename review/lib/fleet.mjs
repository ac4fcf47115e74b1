/**
 * Starts routers with the command and the settings template of the deploy file,
 * on loopback addresses, beside a stand-in of the platform's store.
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
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath, URL} from 'node:url';

export const repository = fileURLToPath(new URL('../../', import.meta.url));

/** Exit codes of a case. */
export const Verdict = {Held: 0, Broken: 1, NotRun: 2};

/** Bounds of the site poskaart-router, as its sheet gives them. */
export const bounds = {
  contactMs: 3_000,
  drainMs: 2_000,
  graceS: 8,
  retryBudgetRatio: 0.2,
  budgetWindowS: 10,
  retrySlack: 104,
  ttl_max_s: 5,
};

/** Limits for callers, as `fleetbench wire` shows them for the site. */
export const callerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4_194_304,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};

/** Collects lines with times, and writes them to the case's `record.txt`. */
export class Recorder {
  #lines = [];
  #startedAtMs = performance.now();

  constructor(folder) {
    this.file = path.join(folder, 'record.txt');
  }

  note(text) {
    const seconds = (performance.now() - this.#startedAtMs) / 1_000;
    this.#lines.push(`${seconds.toFixed(3).padStart(8)} s  ${text}`);
  }

  save() {
    fs.writeFileSync(this.file, `${this.#lines.join('\n')}\n`);
  }
}

/** Returns a free TCP port of an address. */
export async function findFreePort(host) {
  const server = net.createServer();
  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, host, resolve);
  });
  const {port} = server.address();
  await new Promise(resolve => server.close(resolve));
  return port;
}

/** Stand-in of the platform's store, with the two calls that routers make. */
export class Store {
  #items = new Map();
  #revision = 100;
  #waiting = new Set();

  constructor() {
    this.server = http.createServer((request, response) =>
      this.#answer(request, response),
    );
  }

  async listen(host) {
    await new Promise(resolve => this.server.listen(0, host, resolve));
    this.address = `${host}:${this.server.address().port}`;
  }

  put(key, value) {
    this.#revision += 1;
    const text = Buffer.from(JSON.stringify(value)).toString('base64');
    this.#items.set(key, {
      key,
      value: text,
      revision: this.#revision,
      created: this.#items.get(key)?.created ?? this.#revision,
      lease: 0,
    });
    for (const wake of this.#waiting) wake();
  }

  remove(key) {
    this.#revision += 1;
    this.#items.delete(key);
    for (const wake of this.#waiting) wake();
  }

  close() {
    this.server.closeAllConnections();
    this.server.close();
  }

  async #answer(request, response) {
    const {pathname, searchParams} = new URL(request.url, 'http://store');
    const prefix = searchParams.get('prefix') ?? '';
    const list = () =>
      [...this.#items.values()]
        .filter(({key}) => key.startsWith(prefix))
        .sort((a, b) => (a.key < b.key ? -1 : 1));
    if (pathname === '/-/kv-range') {
      this.#send(response, {entries: list(), hasMore: false});
      return;
    }
    if (pathname !== '/-/kv-watch') {
      response.writeHead(404).end();
      return;
    }
    const after = Number(searchParams.get('after'));
    const findNew = () => list().filter(({revision}) => revision > after);
    const endsAtMs = performance.now() + Number(searchParams.get('waitMs'));
    while (findNew().length === 0 && performance.now() < endsAtMs) {
      const waitMs = endsAtMs - performance.now();
      let wake;
      await Promise.race([
        new Promise(resolve => this.#waiting.add((wake = resolve))),
        delay(waitMs, undefined, {ref: false}),
      ]);
      this.#waiting.delete(wake);
    }
    this.#send(response, {events: findNew()});
  }

  #send(response, body) {
    const text = JSON.stringify({...body, at: this.#revision});
    response.writeHead(200, {'Content-Type': 'application/json'});
    response.end(text);
  }
}

/** Fills the placeholders that the settings template uses. */
function fillTemplate(template, fields) {
  return template.replace(
    /\{\{([\w.]+)(\|json)?\}\}/g,
    (_match, name, asJson) => {
      const value = name.split('.').reduce((part, key) => part?.[key], fields);
      return asJson ? JSON.stringify(value) : String(value ?? '');
    },
  );
}

/** Router processes of one run, all in the loopback range. */
export class Fleet {
  routers = [];
  children = new Set();

  constructor(recorder) {
    this.recorder = recorder;
    this.folder = fs.mkdtempSync(path.join(os.tmpdir(), 'review-'));
    const second = 1 + Math.floor(Math.random() * 250);
    const third = 1 + Math.floor(Math.random() * 250);
    this.network = `127.${second}.${third}`;
    this.store = new Store();
    const deployFile = fs.readFileSync(
      path.join(repository, 'deploy/system.toml'),
      'utf8',
    );
    this.command = /^run = "(.*)"$/m.exec(deployFile)[1].split(' ');
    this.template = fs.readFileSync(
      path.join(repository, /^template = "(.*)"$/m.exec(deployFile)[1]),
      'utf8',
    );
    process.once('exit', () => this.killAll());
  }

  /** Address for a runner, which no router uses. */
  get runnerHost() {
    return `${this.network}.2`;
  }

  async start(count) {
    await this.store.listen(`${this.network}.1`);
    const hosts = Array.from({length: count}, (_, i) => this.getHost(i));
    const ports = {};
    for (const name of ['callers', 'ready', 'peers', 'addresses', 'exchange']) {
      ports[name] = await findFreePort(hosts[0]);
    }
    for (const [index, host] of hosts.entries()) {
      const fields = {
        nodeName: `edge-${index + 1}`,
        zone: 'kaap-a',
        ip: host,
        limits: {linkMbps: 490},
        listen: {
          frontend: `${host}:${ports.callers}`,
          ready: `${host}:${ports.ready}`,
          controlPlane: `${host}:${ports.peers}`,
          directoryAddr: `${host}:${ports.addresses}`,
        },
        internalPorts: [ports.exchange, ports.exchange],
        seedNodes: hosts.slice(0, 3).map(seed => `${seed}:${ports.peers}`),
        platform: {address: this.store.address},
        bounds,
      };
      const file = path.join(this.folder, `router-${index + 1}.json`);
      const router = {name: fields.nodeName, host, file, fields};
      this.routers.push(Object.assign(router, fields.listen));
      this.startRouter(router, true);
    }
    await this.waitUntilReady();
  }

  getHost(index) {
    return `${this.network}.${10 + index}`;
  }

  /** @param isFirstStart - true if the whole system starts for the first time */
  startRouter(router, isFirstStart) {
    const fields = {...router.fields, bootstrap: isFirstStart};
    fs.writeFileSync(router.file, fillTemplate(this.template, fields));
    router.startedAtMs = performance.now();
    const words = this.command.map(word =>
      word === '/etc/anvilstall/node.toml' ? router.file : word,
    );
    const log = fs.openSync(`${router.file}.log`, 'a');
    const child = this.track(
      spawn(process.execPath, words.slice(1), {
        cwd: repository,
        stdio: ['ignore', log, log],
      }),
    );
    fs.closeSync(log);
    router.child = child;
    router.exit = undefined;
    child.once('exit', (code, signal) => {
      router.exit = {code, signal};
      this.recorder.note(
        `${router.name} ended: code ${code}, signal ${signal}`,
      );
    });
    this.recorder.note(`${router.name} started, process ${child.pid}`);
  }

  /** Kills all routers at the same moment, and starts them again. */
  async killRouters(restartAfterMs) {
    this.recorder.note('all routers are killed');
    const ended = this.routers.map(
      ({child}) => new Promise(resolve => child.once('exit', resolve)),
    );
    for (const {child} of this.routers) child.kill('SIGKILL');
    await Promise.all(ended);
    await delay(restartAfterMs);
    for (const router of this.routers) this.startRouter(router, false);
    await this.waitUntilReady();
  }

  /** Starts a stand-in from this repository's `review` folder. */
  startStandin(file, args) {
    const child = this.track(
      spawn(process.execPath, [file, ...args], {
        stdio: ['pipe', 'pipe', 'inherit'],
      }),
    );
    return child;
  }

  track(child) {
    this.children.add(child);
    child.once('exit', () => this.children.delete(child));
    return child;
  }

  async waitUntilReady() {
    const endsAtMs = performance.now() + 15_000;
    for (const router of this.routers) {
      while (!(await isReady(router))) {
        if (performance.now() > endsAtMs) {
          throw new Error(`${router.name} isn't ready`);
        }
        await delay(100);
      }
    }
    this.recorder.note('all routers are ready');
  }

  /** Last lines that a router wrote. */
  readLog(router, lines) {
    const text = fs.readFileSync(`${router.file}.log`, 'utf8');
    return text.trimEnd().split('\n').slice(-lines);
  }

  killAll() {
    for (const child of this.children) child.kill('SIGKILL');
    fs.rmSync(this.folder, {recursive: true, force: true});
  }

  async stop() {
    const ended = [...this.children].map(
      child => new Promise(resolve => child.once('exit', resolve)),
    );
    for (const child of this.children) child.kill('SIGKILL');
    await Promise.all(ended);
    this.store.close();
    this.killAll();
  }
}

/** Asks a router's address for readiness checks, as the platform does. */
export function isReady(router) {
  return new Promise(resolve => {
    const request = http.get(
      `http://${router.ready}/-/readyz`,
      {agent: false, timeout: 1_000},
      response => {
        response.resume();
        resolve(response.statusCode === 200);
      },
    );
    request.once('timeout', () => request.destroy());
    request.once('error', () => resolve(false));
  });
}

let lastAttempt = 0;

/** Returns a new id for a consumer attempt. */
export function createAttemptId() {
  lastAttempt += 1;
  return (Date.now() * 65_536 + lastAttempt).toString(16).padStart(16, '0');
}

/**
 * Sends a request as a consumer does, who leaves a stream after too long a gap
 * before an event. Resolves once the answer is complete, the
 * channel is closed or the consumer's time limit has passed.
 */
export function sendRequest({
  address,
  agent,
  method,
  url,
  headers,
  body,
  deadlineMs,
  maxGapMs,
}) {
  const sentAtMs = performance.now();
  const [host, port] = address.split(':');
  const attemptId = createAttemptId();
  const result = {attemptId, sentAtMs, status: 0, isComplete: false, body: ''};
  return new Promise(resolve => {
    const finish = end => {
      if (result.end) return;
      clearTimeout(timer);
      clearTimeout(gapTimer);
      resolve(
        Object.assign(result, {
          end,
          ms: performance.now() - sentAtMs,
          isKept: request.reusedSocket,
        }),
      );
    };
    const request = http.request(
      {
        host,
        port,
        agent,
        method,
        path: url,
        headers: {
          Host: 'shop.example',
          'Attempt-Id': attemptId,
          'Deadline-Ms': deadlineMs,
          ...headers,
          ...(body === undefined ? {} : {'Content-Length': body.length}),
        },
      },
      response => {
        result.status = response.statusCode;
        result.headers = response.headers;
        response.setEncoding('latin1');
        response.on('data', text => {
          result.body += text;
          if (result.body.includes('\n\n', seenBytes)) gapTimer?.refresh();
          seenBytes = Math.max(0, result.body.length - 1);
        });
        response.once('end', () => {
          result.isComplete = response.complete;
          finish(response.complete ? 'answered' : 'cut in the answer');
        });
        response.once('error', () => finish('cut in the answer'));
      },
    );
    result.request = request;
    let seenBytes = 0;
    const leave = end => {
      finish(end);
      request.destroy();
    };
    const gapTimer =
      maxGapMs === undefined
        ? undefined
        : setTimeout(() => leave('left after a gap'), maxGapMs);
    const timer = setTimeout(() => {
      finish('time limit');
      request.destroy();
    }, deadlineMs);
    request.once('error', error =>
      finish(`channel closed (${error.code ?? error.message})`),
    );
    request.end(body);
  });
}
