import FakeTimers, {type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import fc from 'fast-check';
import {
  formatProcess,
  ServerState,
  type BackendServer,
} from '../../src/router/deployment.js';
import {LeavingServers} from '../../src/router/leavingServers.js';
import {
  ServerDirectory,
  type ServerView,
} from '../../src/router/serverDirectory.js';
import {SharedNotices} from '../../src/router/sharedNotices.js';

const routerCount = 3;
const serverCount = 3;
/** Time between reports of a router, in milliseconds. */
const reportIntervalMs = 400;

type Step =
  | {kind: 'read'; router: number; staleBy: number}
  | {kind: 'leave'; server: number; router: number}
  | {kind: 'restart'; server: number}
  | {kind: 'report'; from: number; to: number}
  | {kind: 'wait'; ms: number};

const router = fc.nat(routerCount - 1);
const server = fc.nat(serverCount - 1);
const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
  fc.record({
    kind: fc.constant('read' as const),
    router,
    staleBy: fc.nat(4),
  }),
  fc.record({kind: fc.constant('leave' as const), server, router}),
  fc.record({kind: fc.constant('restart' as const), server}),
  fc.record({kind: fc.constant('report' as const), from: router, to: router}),
  fc.record({kind: fc.constant('wait' as const), ms: fc.nat(3_000)}),
);

/** Routers, a store whose reads may be stale, and servers that come and go. */
class LeavingModel {
  private readonly routers = Array.from({length: routerCount}, () => {
    const directory = new ServerDirectory();
    const notices = new SharedNotices(() => undefined);
    return {
      directory,
      notices,
      leaving: new LeavingServers(directory, notices),
      /** Processes that it knows to leave. */
      told: new Set<string>(),
    };
  });
  private readonly servers: BackendServer[] = Array.from(
    {length: serverCount},
    (_, index) => ({
      id: `server-${index}`,
      service: 'shop',
      host: `10.0.0.${index}`,
      port: 80,
      zone: 'a',
      slots: 4,
      state: ServerState.Ready,
      warmUpMs: 0,
      startedAt: 1,
    }),
  );
  private readonly history: ServerView[] = [];
  /** Processes that said that they leave. */
  private readonly left = new Set<string>();

  constructor() {
    this.publish();
  }

  run(step: Step, clock: Clock): void {
    switch (step.kind) {
      case 'read': {
        const index = Math.max(0, this.history.length - 1 - step.staleBy);
        this.routers[step.router].directory.apply(this.history[index], 0);
        break;
      }
      case 'leave': {
        const {directory, leaving, told} = this.routers[step.router];
        const found = directory.findUsable(`server-${step.server}`);
        if (!found) break;
        leaving.record(found);
        this.left.add(formatProcess(found));
        told.add(formatProcess(found));
        break;
      }
      case 'restart': {
        const before = this.servers[step.server];
        this.servers[step.server] = {
          ...before,
          startedAt: before.startedAt! + 1,
        };
        this.publish();
        break;
      }
      case 'report':
        this.report(step.from, step.to);
        break;
      case 'wait':
        clock.tick(step.ms);
        break;
    }
  }

  /** Lets each router report to each other as often as a notice is repeated. */
  settle(clock: Clock): void {
    for (let ms = 0; ms < 1_500; ms += reportIntervalMs) {
      for (let from = 0; from < routerCount; from++) {
        for (let to = 0; to < routerCount; to++) this.report(from, to);
      }
      clock.tick(reportIntervalMs);
    }
  }

  /** No router uses a process again that it knows to leave. */
  checkKnown(): void {
    for (const {directory, told} of this.routers) {
      for (const found of directory.listAll()) {
        expect(told.has(formatProcess(found)), 'used again').to.equal(false);
      }
    }
  }

  /** After a read, all routers use exactly the processes that haven't left. */
  checkEnd(): void {
    const ready = this.servers.filter(s => !this.left.has(formatProcess(s)));
    for (const {directory} of this.routers) {
      directory.apply(this.history.at(-1)!, 0);
      const usable = [...directory.listAll()].map(formatProcess).sort();
      expect(usable).to.deep.equal(ready.map(formatProcess).sort());
    }
  }

  private report(from: number, to: number): void {
    if (from === to) return;
    const {notices, told} = this.routers[from];
    const keys = notices.listTold();
    this.routers[to].notices.recordPeer(keys, true);
    if (keys.length === 0) return;
    for (const process of told) {
      if (!this.isUsed(to, process)) this.routers[to].told.add(process);
    }
  }

  private isUsed(index: number, process: string): boolean {
    const used = [...this.routers[index].directory.listAll()];
    return used.some(found => formatProcess(found) === process);
  }

  private publish(): void {
    const revision = this.history.length + 1;
    this.history.push({servers: [...this.servers], revision});
  }
}

describe('servers that leave and come back, in any order', () => {
  let clock: Clock;

  beforeEach(() => {
    clock = FakeTimers.install({toFake: ['performance']});
  });

  afterEach(() => clock.uninstall());

  // Guards against a stale read of the store or a lost report that brings a
  // process back that left, and against one that never comes back.
  it('should be used by all routers until they leave, and again as new processes', () => {
    fc.assert(
      fc.property(fc.array(stepArbitrary, {maxLength: 40}), steps => {
        const model = new LeavingModel();
        for (const step of steps) {
          model.run(step, clock);
          model.checkKnown();
        }
        model.settle(clock);
        model.checkKnown();
      }),
      {seed: 20261204, numRuns: 2_000},
    );
  });

  it('should leave all routers with the same servers once reports arrive', () => {
    fc.assert(
      fc.property(fc.array(stepArbitrary, {maxLength: 40}), steps => {
        const model = new LeavingModel();
        for (const step of steps) {
          model.run(step, clock);
          if (step.kind === 'leave') model.settle(clock);
        }
        clock.tick(10_000);
        model.checkEnd();
      }),
      {seed: 20261205, numRuns: 2_000},
    );
  });
});
