/** Traffic, configuration and runners of a small deployment, for the scripts. */
import {Buffer} from 'node:buffer';
import http from 'node:http';
import {performance} from 'node:perf_hooks';
import readline from 'node:readline';
import {setTimeout} from 'node:timers';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath, URL} from 'node:url';
import {callerLimits, findFreePort, sendRequest} from './fleet.mjs';

const runnerFile = fileURLToPath(new URL('./runner.mjs', import.meta.url));

/** Two seconds, four times the objective or eight times the pause. */
const maxStreamGapMs = 2_000;

/** Three ping intervals (`heartbeatMs` is 1,200). */
const entryExpiryMs = 3_600;

/** Routes with the times of the site poskaart-router. */
export const routes = {
  query: {
    prefix: '/query/',
    routeType: 'stream',
    timeoutMs: 12_000,
    goalMs: 500,
    gapTargetMs: 200,
    priority: 0,
    service: 'pen-models',
    maxAttempts: 1,
    resumable: false,
    sticky: true,
    deadlineMs: 12_004,
  },
  order: {
    prefix: '/order/',
    routeType: 'unsafe',
    timeoutMs: 800,
    goalMs: 300,
    priority: 2,
    service: 'catalogue',
    maxAttempts: 1,
    deadlineMs: 1_501,
  },
  status: {
    prefix: '/status/',
    routeType: 'safe',
    timeoutMs: 800,
    goalMs: 300,
    priority: 2,
    service: 'catalogue',
    maxAttempts: 2,
    deadlineMs: 1_501,
  },
};

const configuration = {
  version: 7,
  routes: Object.entries(routes).map(([name, route]) => ({
    name,
    host: 'shop.example',
    public: false,
    ...route,
    // A consumer's own time, not a field of the configuration.
    deadlineMs: undefined,
  })),
  services: [
    {
      name: 'pen-models',
      healthPath: '/healthz',
      maxConns: 720,
      engine: {
        slots: 64,
        kvCapacityTokens: 429_393,
        kvBytes: 18_432,
        linkMbps: 280_000,
      },
    },
    {name: 'catalogue', healthPath: '/healthz', maxConns: 192},
  ],
  limits: callerLimits,
  tenants: [{name: 'museum', apiKeys: ['key-of-the-museum'], priority: 1}],
};

/** Runner processes, and what they say that they run. */
export class Runners {
  children = new Map();
  /** Runners that began to work on each consumer attempt. */
  runsByAttempt = new Map();
  runsByRunner = new Map();
  /** Arrivals of deadly requests at runners. */
  deadlyRuns = [];
  crashedAtMs = [];
  isStopping = false;

  constructor(fleet, recorder) {
    this.fleet = fleet;
    this.recorder = recorder;
  }

  /**
   * Starts runners of both services, and writes them and the configuration to
   * the store.
   *
   * @param trouble - what the runners do once they are told to be in trouble
   */
  async start({engines, plain, trouble, bytesPerSecond = 0, backAfterMs}) {
    this.backAfterMs = backAfterMs;
    const kinds = [
      ...Array.from({length: engines}, (_, i) => ['engine', i + 1]),
      ...Array.from({length: plain}, (_, i) => ['plain', i + 1]),
    ];
    for (const [kind, number] of kinds) {
      const id = `${kind}-${number}`;
      const host = this.fleet.runnerHost;
      const port = await findFreePort(host);
      await this.startRunner({id, host, port, kind, trouble, bytesPerSecond});
    }
    this.fleet.store.put('op/config', configuration);
  }

  /** Starts a runner, and registers it in the store. */
  async startRunner(runner) {
    const {id, host, port, kind, trouble, bytesPerSecond} = runner;
    const isEngine = kind === 'engine';
    const args = [host, port, id, kind, trouble, bytesPerSecond];
    await this.startProcess(id, args);
    this.fleet.store.put(`servers/${id}`, {
      service: isEngine ? 'pen-models' : 'catalogue',
      address: `${host}:${port}`,
      zone: 'kaap-a',
      version: 1,
      slots: isEngine ? 64 : 6,
      state: 'ready',
      coldLeftMs: 0,
      seqNo: 1,
      born: Date.now(),
    });
    if (this.backAfterMs === undefined) return;
    this.children.get(id).once('exit', () => void this.#restart(runner));
  }

  /** Starts a crashed runner again, as a new boot with a new id. */
  async #restart(runner) {
    const {id} = runner;
    this.crashedAtMs.push(performance.now());
    this.recorder.note(`${id} crashed`);
    if (this.isStopping) return;
    // The store drops the entry after three ping intervals of silence.
    setTimeout(() => this.fleet.store.remove(`servers/${id}`), entryExpiryMs);
    await delay(this.backAfterMs);
    if (this.isStopping) return;
    const [name, number, boot = '0'] = id.split('-');
    const nextId = `${name}-${number}-${Number(boot) + 1}`;
    await this.startRunner({...runner, id: nextId});
  }

  async startProcess(id, args) {
    const child = this.fleet.startStandin(runnerFile, args);
    this.children.set(id, child);
    const lines = readline.createInterface({input: child.stdout});
    await new Promise(resolve => {
      lines.on('line', line => {
        const {event, attemptId} = JSON.parse(line);
        if (event === 'listens') resolve();
        else this.recorder.note(`${attemptId} ${event} at ${id}`);
        if (event.startsWith('runs')) this.recordRun(attemptId, id);
        if (event === 'runs deadly') {
          this.deadlyRuns.push({attemptId, id, atMs: performance.now()});
        }
      });
    });
  }

  recordRun(attemptId, id) {
    const runs = this.runsByAttempt.get(attemptId) ?? [];
    runs.push(id);
    this.runsByAttempt.set(attemptId, runs);
    this.runsByRunner.set(id, (this.runsByRunner.get(id) ?? 0) + 1);
  }

  /** Returns the runner of a kind that has run the most requests. */
  findBusiest(kind) {
    const [[id]] = [...this.runsByRunner]
      .filter(([runner]) => runner.startsWith(kind))
      .sort(([, a], [, b]) => b - a);
    return id;
  }

  setTrouble(id, isInTrouble) {
    this.recorder.note(`${id}: trouble ${isInTrouble ? 'begins' : 'ends'}`);
    this.children.get(id).stdin.write(isInTrouble ? 'on\n' : 'off\n');
  }
}

/** Consumers of all routers, each with kept channels of its own. */
export class Consumers {
  /** All requests that were sent, each with its route, router and end. */
  requests = [];
  #agents = new Map();
  #pending = [];
  #number = 0;

  constructor(fleet, recorder) {
    this.fleet = fleet;
    this.recorder = recorder;
  }

  /** Sends requests of each route to each router in turn, for some time. */
  async send({durationMs, intervalMs, routeNames}) {
    const endsAtMs = performance.now() + durationMs;
    while (performance.now() < endsAtMs) {
      this.#number += 1;
      const {routers} = this.fleet;
      const router = routers[this.#number % routers.length];
      for (const name of routeNames) this.sendOne(router, name);
      await delay(intervalMs);
    }
  }

  /**
   * @param special - the value of `Prompt-Prefix` and the path, where they matter
   */
  sendOne(router, routeName, {promptPrefix, path} = {}) {
    const {prefix, routeType, deadlineMs, timeoutMs} = routes[routeName];
    const number = this.#number;
    const isStream = routeType === 'stream';
    const isRead = routeName === 'status';
    const subject = (100 + (number % 41)).toString(16);
    const own = (4_096 + number).toString(16);
    const prompt = {
      Model: 'm',
      'Token-Count': '820,60',
      'Prompt-Prefix': promptPrefix ?? `aa:120,${subject}:80,${own}:620`,
    };
    const sent = sendRequest({
      address: router.frontend,
      agent: this.#getAgent(router),
      method: isRead ? 'GET' : 'POST',
      url: path ?? `${prefix}${number}`,
      headers: {
        Authorization: 'Token key-of-the-museum',
        ...(isStream ? prompt : {}),
      },
      body: isRead ? undefined : Buffer.alloc(isStream ? 1_700 : 600, 'x'),
      deadlineMs,
      maxGapMs: isStream ? maxStreamGapMs : undefined,
    }).then(result => {
      const {attemptId, status, end, ms, sentAtMs, isKept} = result;
      const sentAs = {router: router.name, routeName, timeoutMs, deadlineMs};
      const seen = {attemptId, status, end, ms, sentAtMs, isKept};
      this.requests.push({...sentAs, ...seen});
      this.recorder.note(
        `${attemptId} ${routeName} sent to ${router.name}: ` +
          `${end} ${status || ''} after ${Math.round(ms)} ms`,
      );
    });
    this.#pending.push(sent);
    return sent;
  }

  /** Waits until each request has ended. */
  async waitForAll() {
    await Promise.all(this.#pending);
    for (const agent of this.#agents.values()) agent.destroy();
  }

  #getAgent(router) {
    const agent =
      this.#agents.get(router.name) ?? new http.Agent({keepAlive: true});
    this.#agents.set(router.name, agent);
    return agent;
  }
}
