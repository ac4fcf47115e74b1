import FakeTimers, {type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {SeededRandom} from '../../src/standins/seededRandom.js';
import {computeLimitWaitMs} from '../../src/router/limitWait.js';
import {ServerLimits} from '../../src/router/serverLimits.js';

const key = 7;
const service = 'models';
/** Shortest bound within which all routers must know a limit, in seconds. */
const contactBoundSeconds = 3;
const windowSeconds = 4;
const tickMs = 10;
/** Time until a change has reached all routers through two relays. */
const gossipMs = 300;
/** Requests a second at each router that callers use. */
const requestsEach = 8;
/** Share of the requests with the most urgent rank. */
const urgentRatio = 0.37;

interface Send {
  readonly atMs: number;
  readonly rank: number;
}

/** Routers before one limited server, with sound servers for the rest. */
class LimitedFleet {
  readonly sends: Send[] = [];
  readonly routers: ServerLimits[];
  private readonly random = new SeededRandom(42);
  private gossipAtMs = 0;

  constructor(
    count: number,
    private readonly getLimit: () => number | undefined,
  ) {
    this.routers = Array.from(
      {length: count},
      (_, index) =>
        new ServerLimits({
          announce: () => undefined,
          getPosition: () => ({index, count}),
        }),
    );
  }

  /** Lets callers send requests for some seconds. */
  run(clock: Clock, seconds: number): void {
    const perTick = (this.routers.length * requestsEach * tickMs) / 1_000;
    let due = 0;
    for (let ms = 0; ms < seconds * 1_000; ms += tickMs) {
      clock.tick(tickMs);
      for (due += perTick; due >= 1; due -= 1) this.sendOne();
      this.sendReports();
    }
  }

  private draw(below: number): number {
    return Math.floor(this.random.draw() * below);
  }

  private sendOne(): void {
    const router = this.routers[this.draw(this.routers.length)];
    const rank = this.draw(100) < urgentRatio * 100 ? 0 : 5;
    router.recordRequest({service, rank});
    if (router.measureWaitMs(key, {service, rank}) > 0) return;
    const isShared = router.getPerSecond(key) !== undefined;
    // Without a limit, the server is one of many.
    if (!isShared && this.draw(100) > 10) return;
    router.recordSend(key);
    const atMs = performance.now();
    this.sends.push({atMs, rank});
    router.recordAnswer(key, this.getLimit(), atMs);
  }

  private sendReports(): void {
    if (performance.now() < this.gossipAtMs) return;
    this.gossipAtMs = performance.now() + gossipMs;
    const reports = this.routers.flatMap(router => router.listReports(false));
    const unique = new Map(reports.map(r => [JSON.stringify(r), r]));
    for (const router of this.routers) {
      router.recordPeer([...unique.values()], false);
    }
  }
}

function findMostInWindow(sends: readonly Send[], sinceMs: number): number {
  const times = sends.map(({atMs}) => atMs).filter(atMs => atMs >= sinceMs);
  const counts = times.map(
    start =>
      times.filter(t => t >= start && t <= start + windowSeconds * 1_000)
        .length,
  );
  return Math.max(0, ...counts);
}

describe('limit of a backend server for the whole fleet', () => {
  let clock: Clock;

  beforeEach(() => {
    clock = FakeTimers.install({toFake: ['performance']});
  });

  afterEach(() => clock.uninstall());

  // Pattern: a server in need takes few requests from routers that each get
  // many. Guards against a limit that each router keeps by itself, and against
  // one that is split into parts too small to be used.
  for (const count of [12, 96, 380]) {
    for (const perSecond of [1, 2.3, 20]) {
      it(`should be kept and used by the most urgent, ${perSecond} a second before ${count} routers`, () => {
        const fleet = new LimitedFleet(count, () => perSecond);
        fleet.run(clock, contactBoundSeconds);
        const sinceMs = performance.now();
        const seconds = 20;
        fleet.run(clock, seconds);
        const sends = fleet.sends.filter(({atMs}) => atMs >= sinceMs);
        const allowed = 1.5 * perSecond * windowSeconds + 5;
        expect(findMostInWindow(sends, sinceMs)).to.be.at.most(allowed);
        expect(sends.length).to.be.at.least(0.8 * perSecond * seconds);
        const urgent = sends.filter(({rank}) => rank === 0).length;
        expect(urgent / sends.length).to.be.at.least(0.9);
      });
    }
  }

  // Guards against a burst from turns that nobody used while no caller came.
  it('should be kept when callers come back after a pause', () => {
    const fleet = new LimitedFleet(12, () => 1);
    fleet.run(clock, contactBoundSeconds);
    clock.tick(120_000);
    const sinceMs = performance.now();
    fleet.run(clock, windowSeconds);
    const allowed = 1.5 * windowSeconds + 5;
    expect(findMostInWindow(fleet.sends, sinceMs)).to.be.at.most(allowed);
  });

  // Guards against a server that stays limited after its need has ended.
  it('should end for all routers when an answer states none', () => {
    let perSecond: number | undefined = 1;
    const fleet = new LimitedFleet(96, () => perSecond);
    fleet.run(clock, contactBoundSeconds);
    perSecond = undefined;
    fleet.run(clock, contactBoundSeconds);
    for (const router of fleet.routers) {
      expect(router.getPerSecond(key)).to.equal(undefined);
    }
  });

  // Guards against an answer that was on its way when the limit began, and that
  // ends the limit for the whole fleet.
  it('should not be ended by an answer to an earlier request', () => {
    const [router] = new LimitedFleet(2, () => 1).routers;
    const sentAtMs = performance.now();
    clock.tick(10);
    router.recordAnswer(key, 1, performance.now());
    clock.tick(10);
    router.recordAnswer(key, undefined, sentAtMs);
    expect(router.getPerSecond(key)).to.equal(1);
  });

  it('should leave the server to others while callers are not sent to a router', () => {
    const router = new ServerLimits({
      announce: () => undefined,
      getPosition: () => undefined,
    });
    router.recordAnswer(key, 5, performance.now());
    expect(router.measureWaitMs(key, {service, rank: 0})).to.equal(Infinity);
  });

  it('should pass on what a relay learns from its members, once', () => {
    let announced = 0;
    const relay = new ServerLimits({
      announce: () => void (announced += 1),
      getPosition: () => ({index: 0, count: 2}),
    });
    const report = {key, epoch: 1, perSecond: 2, ageMs: 10};
    relay.recordPeer([report], true);
    relay.recordPeer([report], true);
    expect(announced).to.equal(1);
    expect(relay.listReports(false)).to.have.length(1);
    clock.tick(60_000);
    expect(relay.listReports(false)).to.have.length(0);
    expect(relay.listReports(true)).to.have.length(1);
    relay.forgetEnded(() => false);
    expect(relay.listReports(true)).to.have.length(0);
  });

  // Guards against callers who are told to come back late because of the limits
  // of another service's servers.
  it('should give the time between requests only where all servers have limits', () => {
    const limits = new ServerLimits({
      announce: () => undefined,
      getPosition: () => undefined,
    });
    limits.recordAnswer(1, 3, performance.now());
    limits.recordAnswer(2, 1, performance.now());
    limits.recordAnswer(3, 0, performance.now());
    expect(limits.computeIntervalMs([1, 2])).to.equal(250);
    expect(limits.computeIntervalMs([3])).to.equal(10_000);
    expect(limits.computeIntervalMs([1, 9])).to.equal(0);
    expect(limits.computeIntervalMs([])).to.equal(0);
  });

  // Guards against callers that wait for a turn that comes too late for them.
  it('should let a request wait only if its turn comes in time for the target', () => {
    const times = {waitedMs: 20, targetMs: 300, remainingMs: 900};
    expect(computeLimitWaitMs({...times, waitMs: 80})).to.equal(80);
    expect(computeLimitWaitMs({...times, waitMs: 200})).to.equal(undefined);
    expect(computeLimitWaitMs({...times, waitMs: Infinity})).to.equal(
      undefined,
    );
  });
});
