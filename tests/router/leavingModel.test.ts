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

/** Routers, a store with stale reads, and servers that leave and restart. */
class LeavingModel {
  private readonly routers = Array.from({length: routerCount}, () => {
    const directory = new ServerDirectory();
    const notices = new SharedNotices(() => undefined);
    return {
      directory,
      notices,
      leaving: new LeavingServers(directory, notices),
      /** Processes that the router knows are leaving. */
      leavingProcesses: new Set<string>(),
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
  /** Processes that have announced that they are leaving. */
  private readonly leftProcesses = new Set<string>();

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
        const {directory, leaving, leavingProcesses} =
          this.routers[step.router];
        const found = directory.findUsable(`server-${step.server}`);
        if (!found) break;
        leaving.record(found);
        this.leftProcesses.add(formatProcess(found));
        leavingProcesses.add(formatProcess(found));
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

  /** Sends reports between all routers for as long as notices are repeated. */
  settle(clock: Clock): void {
    for (let ms = 0; ms < 1_500; ms += reportIntervalMs) {
      for (let from = 0; from < routerCount; from++) {
        for (let to = 0; to < routerCount; to++) this.report(from, to);
      }
      clock.tick(reportIntervalMs);
    }
  }

  /** Checks that no router uses a process that it knows is leaving. */
  checkLeftUnused(): void {
    for (const {directory, leavingProcesses} of this.routers) {
      for (const found of directory.listAll()) {
        expect(
          leavingProcesses.has(formatProcess(found)),
          'leaving process is used',
        ).to.equal(false);
      }
    }
  }

  /**
   * Checks that all routers, after a read, use exactly the processes that have
   * not left.
   */
  checkConverged(): void {
    const ready = this.servers.filter(
      s => !this.leftProcesses.has(formatProcess(s)),
    );
    for (const {directory} of this.routers) {
      directory.apply(this.history.at(-1)!, 0);
      const usable = [...directory.listAll()].map(formatProcess).sort();
      expect(usable).to.deep.equal(ready.map(formatProcess).sort());
    }
  }

  private report(from: number, to: number): void {
    if (from === to) return;
    const {notices, leavingProcesses} = this.routers[from];
    const keys = notices.listPending();
    this.routers[to].notices.recordPeer(keys, true);
    if (keys.length === 0) return;
    for (const process of leavingProcesses) {
      if (!this.isUsed(to, process))
        this.routers[to].leavingProcesses.add(process);
    }
  }

  private isUsed(index: number, process: string): boolean {
    const used = [...this.routers[index].directory.listAll()];
    return used.some(found => formatProcess(found) === process);
  }

  private publish(): void {
    const revision = this.history.length + 1;
    this.history.push({servers: [...this.servers], epoch: 1, revision});
  }
}

describe('servers that leave and come back, in any order', () => {
  let clock: Clock;

  beforeEach(() => {
    clock = FakeTimers.install({toFake: ['performance']});
  });

  afterEach(() => clock.uninstall());

  // Guards against a process that has left and is used again because of a stale
  // read of the store or a lost report, and against a restarted server that
  // stays unused.
  it('should be used by all routers until they leave, and again as new processes', () => {
    fc.assert(
      fc.property(fc.array(stepArbitrary, {maxLength: 40}), steps => {
        const model = new LeavingModel();
        for (const step of steps) {
          model.run(step, clock);
          model.checkLeftUnused();
        }
        model.settle(clock);
        model.checkLeftUnused();
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
        model.checkConverged();
      }),
      {seed: 20261205, numRuns: 2_000},
    );
  });
});
