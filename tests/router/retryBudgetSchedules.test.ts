import FakeTimers from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {FleetView} from '../../src/router/fleetView.js';
import {RouterStatus} from '../../src/router/peerReport.js';
import {
  countSharingRouters,
  RetryBudgets,
} from '../../src/router/retryBudgets.js';
import {SeededRandom} from '../../src/standins/seededRandom.js';

const limits = {ratio: 0.2, slack: 344, windowSeconds: 10};
const service = 'catalogue';
const stepMs = 100;
const sweepMs = 500;
const windowSteps = (limits.windowSeconds * 1_000) / stepMs;
/** Time until the others have noticed that a router is gone or back. */
const noticeSteps = 10;
/** Time until a router that has started has heard from the others. */
const greetingSteps = 5;
/** A request that every server rejects is sent this often once more. */
const maxResends = 5;
const fleetSize = 140;
/** Routers with fast links; callers use the others only without these. */
const fastRouters = 8;

interface ScheduledRouter {
  budgets: RetryBudgets;
  isFast: boolean;
  startedAt: number;
  /** Step at which it comes back; 0 while it runs. */
  downUntil: number;
  isOffered: boolean;
}

interface Schedule {
  readonly steps: number;
  /** Requests of the whole fleet in a step. */
  countRequests(step: number): number;
  /** True while all servers reject what they are sent. */
  isFailing(step: number): boolean;
  /** Indexes of routers that stop in a step, and for how long. */
  listStops(step: number): Array<{index: number; downSteps: number}>;
}

/** Runs a schedule over a fleet; returns its requests and repeats by step. */
function runSchedule(schedule: Schedule) {
  let step = 0;
  const offeredCounts: number[] = [];
  const routers: ScheduledRouter[] = [];
  const countRouters = (router: ScheduledRouter) => {
    if (step - router.startedAt < greetingSteps && router.startedAt >= 0) {
      return 1;
    }
    if (!router.isOffered) return fleetSize;
    return offeredCounts[Math.max(0, step - noticeSteps)] ?? fastRouters;
  };
  const start = (router: ScheduledRouter) => {
    router.budgets = new RetryBudgets(
      () => limits,
      () => countRouters(router),
      step === 0,
    );
    router.startedAt = step;
  };
  for (let index = 0; index < fleetSize; index++) {
    const isFast = index < fastRouters;
    const router = {isFast, isOffered: isFast, startedAt: -1, downUntil: 0};
    routers.push(router as ScheduledRouter);
    start(routers[index]);
    routers[index].startedAt = -greetingSteps;
  }
  const requests: number[] = [];
  const repeats: number[] = [];
  for (; step < schedule.steps; step++) {
    for (const {index, downSteps} of schedule.listStops(step)) {
      routers[index].downUntil = step + downSteps;
    }
    for (const router of routers) {
      if (router.downUntil !== step || step === 0) continue;
      router.downUntil = 0;
      start(router);
    }
    const running = routers.filter(({downUntil}) => downUntil === 0);
    const fast = running.filter(({isFast}) => isFast);
    for (const router of routers) {
      const isRunning = router.downUntil === 0;
      router.isOffered = isRunning && (router.isFast || fast.length < 2);
    }
    const offered = routers.filter(({isOffered}) => isOffered);
    offeredCounts.push(offered.length);
    if ((step * stepMs) % sweepMs === 0) {
      for (const {budgets} of running) budgets.refill(sweepMs);
    }
    requests.push(schedule.countRequests(step));
    repeats.push(0);
    for (let i = 0; i < requests[step] && offered.length > 0; i++) {
      const router = offered[(i + step) % offered.length];
      const budget = router.budgets.get(service);
      budget.refill();
      let resends = 0;
      while (
        schedule.isFailing(step) &&
        resends < maxResends &&
        budget.take()
      ) {
        resends += 1;
      }
      repeats[step] += resends;
    }
  }
  return {requests, repeats};
}

/** Largest excess of repeats over what the fleet may send, over all windows. */
function measureExcess(schedule: Schedule): number {
  const {requests, repeats} = runSchedule(schedule);
  const sum = (counts: number[], from: number) =>
    counts
      .slice(Math.max(0, from), Math.max(0, from + windowSteps))
      .reduce((total, count) => total + count, 0);
  let excess = -Infinity;
  for (let from = 0; from + windowSteps <= requests.length; from++) {
    const counted = Math.max(
      sum(requests, from),
      sum(requests, from - windowSteps / 2),
      sum(requests, from - windowSteps),
    );
    const allowed = limits.ratio * counted + limits.slack;
    excess = Math.max(excess, sum(repeats, from) - allowed);
  }
  return excess;
}

describe('retry budget of a fleet whose routers change', () => {
  const quietSteps = 100;
  const base = {
    steps: 400,
    countRequests: () => 14,
    isFailing: (step: number) => step >= quietSteps,
    listStops: () => [] as Array<{index: number; downSteps: number}>,
  };

  // Guards against a full bucket at each restart of a router (BUDGET).
  it('should hold while routers restart one after the other', () => {
    const excess = measureExcess({
      ...base,
      listStops: step =>
        step >= quietSteps && step < quietSteps + 80 && step % 4 === 0
          ? [{index: (step / 4) % fastRouters, downSteps: 3}]
          : [],
    });
    expect(excess).to.be.at.most(0);
  });

  // Guards against a full bucket at each router that callers come to (BUDGET).
  it('should hold when callers move to all other routers and back', () => {
    const excess = measureExcess({
      ...base,
      listStops: step =>
        [quietSteps + 20, quietSteps + 90].includes(step)
          ? Array.from({length: fastRouters}, (_, index) => ({
              index,
              downSteps: 30,
            }))
          : [],
    });
    expect(excess).to.be.at.most(0);
  });

  // Guards against any other order of restarts, moves and bursts that exceeds the
  // budget of the fleet.
  it('should hold on random schedules', () => {
    for (let seed = 1; seed <= 40; seed++) {
      const random = new SeededRandom(seed);
      const draw = () => random.draw();
      const burstAt = Math.floor(draw() * 200);
      const burst = 14 + Math.floor(draw() * 60);
      const failsAt = Math.floor(draw() * 200);
      const stopRate = draw() * 0.5;
      const excess = measureExcess({
        ...base,
        countRequests: step =>
          step >= burstAt && step < burstAt + 80 ? burst : 14,
        isFailing: step => step >= failsAt,
        listStops: () =>
          draw() < stopRate
            ? Array.from({length: 1 + Math.floor(draw() * 4)}, () => ({
                index: Math.floor(draw() * (fastRouters + 8)),
                downSteps: 2 + Math.floor(draw() * 30),
              }))
            : [],
      });
      expect(excess, `seed ${seed}`).to.be.at.most(0);
    }
  });

  // Guards against a router that takes itself for one of six once its relay is lost.
  it('should be shared with all known routers while none is heard', () => {
    const clock = FakeTimers.install({toFake: ['performance']});
    try {
      const fleet = new FleetView('10.0.0.1');
      const members = Array.from({length: fleetSize - 1}, (_, index) => ({
        host: `10.0.1.${index}`,
        vm: `vm-${index}`,
        zone: 'a',
        callers: `10.0.1.${index}:80`,
        peers: `10.0.1.${index}:81`,
        linkMbps: 10,
        processorShare: 1,
        status: RouterStatus.Ready,
      }));
      fleet.recordRoster(members);
      clock.tick(3_000);
      expect(countSharingRouters(fleet, true)).to.equal(fleetSize);
    } finally {
      clock.uninstall();
    }
  });
});
