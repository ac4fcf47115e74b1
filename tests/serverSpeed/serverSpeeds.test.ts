import FakeTimers, {type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {FleetTotals} from '../../src/fleetTotals/fleetTotals.js';
import {TotalsTopic} from '../../src/fleetTotals/totalsReport.js';
import {
  firstEventOverheadMs,
  PrefillStatistics,
} from '../../src/router/engineModel.js';
import {buildFirstEventSample} from '../../src/router/speedSamples.js';
import {
  ServerSpeeds,
  type SpeedServer,
} from '../../src/serverSpeed/serverSpeeds.js';
import {SeededRandom} from '../../src/standins/seededRandom.js';

/** Tokens in a millisecond of an engine of usual speed. */
const usualTokensPerMs = 42.6;
const routerCount = 10;
const reportIntervalMs = 1_200;

interface Engine extends SpeedServer {
  readonly key: number;
  /** Time of a prompt as a multiple of that at an engine of usual speed. */
  readonly delayRatio: number;
}

/** A router that learns from its first events and from reports. */
class LearningRouter {
  readonly totals = new FleetTotals({usesRelays: () => false});
  readonly statistics = new PrefillStatistics();
  readonly logged: string[] = [];
  readonly speeds: ServerSpeeds<Engine>;

  constructor(readonly fleet: LearningFleet) {
    this.speeds = new ServerSpeeds<Engine>({
      listServers: () => fleet.engines,
      computeKey: ({key}) => key,
      listFleet: () => this.totals.list(TotalsTopic.ServerSpeed),
      log: {
        logInfo: (event, fields) =>
          this.logged.push(`${event}: ${fields?.server}`),
      },
    });
    this.totals.register(TotalsTopic.ServerSpeed, () => this.speeds.listOwn());
  }

  /** Returns the actual time over the expected one of a prompt. */
  serve(engine: Engine): number {
    const {random} = this.fleet;
    const speed = this.speeds.getSpeed(engine);
    const prefillWork = 1_000 + Math.round(random.draw() * 9_000);
    const isBusy = random.draw() < 0.5;
    const backlogWork = isBusy ? Math.round(random.draw() * 12_000) : 0;
    const slowness = 0.8 + random.draw() * 0.8;
    // What routers know of each other's prompts is late.
    const actualWork = prefillWork + backlogWork * (0.5 + random.draw());
    const usualMs = actualWork / usualTokensPerMs;
    const ms = firstEventOverheadMs + usualMs * engine.delayRatio * slowness;
    const rate = this.statistics.tokensPerMs * speed;
    const promptPrefillMs = prefillWork / rate;
    const backlogMs = backlogWork / rate;
    const expectedMs = firstEventOverheadMs + promptPrefillMs + backlogMs;
    const estimates = {
      prefillWork,
      backlogWork,
      promptPrefillMs,
      backlogMs,
      expectedMs,
    };
    const sample = buildFirstEventSample(estimates, {ms, slowness});
    if (sample) this.speeds.record(engine, sample);
    this.statistics.record({prefillWork, backlogWork, speed}, ms);
    return ms / expectedMs;
  }
}

class LearningFleet {
  readonly random = new SeededRandom(11);
  readonly routers: LearningRouter[];
  /** Index of a router whose reports are lost. */
  lost: number | undefined;
  private readonly inFlight: Array<() => void> = [];

  constructor(
    private readonly clock: Clock,
    public engines: readonly Engine[],
  ) {
    this.routers = Array.from(
      {length: routerCount},
      () => new LearningRouter(this),
    );
  }

  /** Serves prompts in turn, and reports; returns ratios by engine id. */
  run(
    seconds: number,
    perSecond: number,
    engines: readonly Engine[] = this.engines,
  ): Map<string, number[]> {
    const ratios = new Map<string, number[]>();
    let served = 0;
    for (let ms = 0; ms < seconds * 1_000; ms += 100) {
      this.clock.tick(100);
      if (ms % reportIntervalMs === 0) this.report();
      for (; served < ((ms + 100) * perSecond) / 1_000; served++) {
        const engine = engines[served % engines.length];
        const index = Math.floor(this.random.draw() * routerCount);
        const ratio = this.routers[index].serve(engine);
        const known = ratios.get(engine.id) ?? [];
        ratios.set(engine.id, [...known, ratio]);
      }
    }
    return ratios;
  }

  listSpeeds(router = this.routers[0]): number[] {
    return this.engines.map(engine => router.speeds.getSpeed(engine));
  }

  /** Delivers the last reports, which are late, and sends the next ones. */
  private report(): void {
    for (const deliver of this.inFlight.splice(0)) deliver();
    for (const [index, router] of this.routers.entries()) {
      if (index === this.lost || this.random.draw() < 0.1) continue;
      const totals = router.totals.listOwn(true);
      for (const other of this.routers) {
        if (other === router) continue;
        this.inFlight.push(() =>
          other.totals.recordPeer(`router-${index}`, totals, false),
        );
      }
    }
  }
}

function buildEngines(delayRatios: readonly number[]): Engine[] {
  return delayRatios.map((delayRatio, key) => ({
    id: `engine-${key}`,
    service: 'chat',
    key,
    delayRatio,
  }));
}

function computeMedian(values: readonly number[]): number {
  return [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)];
}

describe('speeds of servers', () => {
  let clock: Clock;
  const mixed = [0.55, 1.2, 0.55, 1.2, 0.55, 1.2, 0.55, 1.2, 0.55, 1.2];

  beforeEach(() => {
    clock = FakeTimers.install({toFake: ['performance']});
  });

  afterEach(() => {
    clock.uninstall();
  });

  // Guards against one rate for engines of different machines, and against
  // routers that learn only from their own few requests.
  it('should tell engines apart after some dozen first events of ten routers', () => {
    const fleet = new LearningFleet(clock, buildEngines(mixed));
    fleet.run(8, 40);
    clock.tick(300);
    for (const router of fleet.routers) {
      const speeds = fleet.listSpeeds(router);
      const fast = speeds.filter((_, index) => mixed[index] < 1);
      const slow = speeds.filter((_, index) => mixed[index] > 1);
      expect(Math.min(...fast)).to.be.greaterThan(1.4 * Math.max(...slow));
    }
  });

  // Guards against admission by times that engines don't keep.
  it('should expect the actual time at nine engines of ten', () => {
    const ratios = [0.4, 0.55, 0.7, 0.8, 0.9, 1, 1.1, 1.2, 1.3, 2];
    const fleet = new LearningFleet(clock, buildEngines(ratios));
    fleet.run(10, 40);
    const medians = [...fleet.run(20, 40).values()].map(computeMedian);
    const met = medians.filter(median => median >= 0.8 && median <= 1.25);
    expect(met.length).to.be.at.least(9);
  });

  // Guards against other choices in fleets whose servers are alike.
  it('should keep servers of even speed within a few per cent of the mean', () => {
    const fleet = new LearningFleet(clock, buildEngines(Array(12).fill(1)));
    for (let i = 0; i < 20; i++) {
      fleet.run(3, 40);
      for (const speed of fleet.listSpeeds()) {
        expect(speed).to.be.within(0.95, 1.05);
      }
    }
    expect(fleet.routers.flatMap(({logged}) => logged)).to.deep.equal([]);
  });

  // Guards against a new process that inherits the speed of another machine.
  it('should start a replaced process from the mean', () => {
    const fleet = new LearningFleet(clock, buildEngines(mixed));
    fleet.run(45, 40);
    expect(fleet.listSpeeds()[0]).to.be.greaterThan(1.3);
    const replaced = {...fleet.engines[0], key: 99};
    fleet.engines = [replaced, ...fleet.engines.slice(1)];
    expect(fleet.listSpeeds()[0]).to.be.closeTo(1, 1e-9);
  });

  // Guards against a server that was slow once and is never used again.
  it('should return to the mean at a server that has got no work for two minutes', () => {
    const engines = buildEngines([3, 1, 1, 1]);
    const fleet = new LearningFleet(clock, engines);
    fleet.run(15, 20);
    expect(fleet.listSpeeds()[0]).to.be.lessThan(0.6);
    fleet.run(120, 20, engines.slice(1));
    expect(fleet.listSpeeds()[0]).to.be.greaterThan(0.85);
    const {logged} = fleet.routers[0];
    expect(logged).to.include('server speed differs: engine-0');
    expect(logged).to.include('server speed is usual again: engine-0');
  });

  // Guards against estimates that jump when a router can't be heard.
  it('should keep the estimates when the reports of a router are lost', () => {
    const fleet = new LearningFleet(clock, buildEngines(mixed));
    fleet.run(15, 40);
    const before = fleet.listSpeeds();
    fleet.lost = 3;
    fleet.run(6, 40);
    for (const router of fleet.routers) {
      for (const [index, speed] of fleet.listSpeeds(router).entries()) {
        expect(speed / before[index]).to.be.within(0.85, 1.15);
      }
    }
  });

  // Guards against one stalled request that excludes a server.
  it('should bound the effect of a request that stalled', () => {
    const fleet = new LearningFleet(clock, buildEngines(Array(4).fill(1)));
    fleet.run(15, 20);
    const [router] = fleet.routers;
    const stall = {work: 5_000, workBefore: 0, ms: 30_000};
    const sample = {...stall, expectedMs: 120, slowness: 1};
    router.speeds.record(fleet.engines[0], sample);
    fleet.run(2, 20);
    expect(fleet.listSpeeds()[0]).to.be.greaterThan(0.75);
  });
});
