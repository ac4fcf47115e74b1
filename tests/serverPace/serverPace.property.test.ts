import FakeTimers, {type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import fc from 'fast-check';
import {computeColdLimit} from '../../src/serverPace/coldLimit.js';
import {SeededRandom} from '../../src/standins/seededRandom.js';
import {createPropertyOptions} from '../support/properties.js';
import {PacedFleet, type PacedFleetCase} from './pacedFleet.js';

const tickMs = 20;
/** Routers know each other when the server crashes. */
const crashAtMs = 4_000;

/** Fewest routers of which two restart while the others keep the evidence. */
const minRestartFleet = 6;

const calmCase: PacedFleetCase = {
  seed: 1,
  routers: 12,
  coldStart: {durationMs: 3_000, requestsPerSecond: 10},
  bounds: {overrun: 1.5, slack: 5},
  lossRatio: 0,
  maxReportDelayMs: 50,
  maxStoreLagMs: 100,
  sides: 1,
  partitionAtMs: 0,
  restarts: 0,
  cutOff: 0,
  crashAtMs,
  downMs: 2_000,
  // As many as wait for their turn.
  demandEach: 40,
};

function runFleet(clock: Clock, fleetCase: PacedFleetCase): PacedFleet {
  const random = new SeededRandom(fleetCase.seed);
  const fleet = new PacedFleet(fleetCase, random);
  const {durationMs} = fleetCase.coldStart;
  const endMs = fleet.returnedAtMs + durationMs + 1_000;
  for (let ms = 0; ms < endMs; ms += tickMs) {
    clock.tick(tickMs);
    fleet.runTick(tickMs);
  }
  return fleet;
}

const caseArbitrary: fc.Arbitrary<PacedFleetCase> = fc
  .record({
    seed: fc.integer({min: 1, max: 1_000_000}),
    routers: fc.integer({min: 1, max: 30}),
    durationMs: fc.integer({min: 1_500, max: 4_000}),
    requestsPerSecond: fc.integer({min: 1, max: 30}),
    overrun: fc.double({min: 1, max: 2, noNaN: true}),
    slack: fc.integer({min: 0, max: 10}),
    lossRatio: fc.double({min: 0, max: 0.6, noNaN: true}),
    maxReportDelayMs: fc.integer({min: 1, max: 1_000}),
    maxStoreLagMs: fc.integer({min: 1, max: 2_000}),
    sides: fc.oneof(fc.constant(1), fc.integer({min: 2, max: 30})),
    partitionAtMs: fc.integer({min: 3_000, max: 8_000}),
    restarts: fc.integer({min: 0, max: 2}),
    cutOff: fc.integer({min: 0, max: 5}),
    downMs: fc.integer({min: 1_800, max: 3_500}),
    demandEach: fc.integer({min: 4, max: 20}),
  })
  .map(({durationMs, requestsPerSecond, overrun, slack, ...rest}) => ({
    ...rest,
    // Restarted routers learn the evidence from those that go on. Where all
    // restart, or the others are on another side of a partition, it is lost; see
    // docs/design/server-pace.md.
    restarts:
      rest.sides === 1 && rest.routers >= minRestartFleet ? rest.restarts : 0,
    coldStart: {durationMs, requestsPerSecond},
    bounds: {overrun, slack},
    crashAtMs,
  }));

describe('pace of a server that crashes and returns under its id', () => {
  let clock: Clock;

  beforeEach(() => {
    clock = FakeTimers.install({toFake: ['performance']});
  });

  afterEach(() => clock.uninstall());

  // Guards against routers that together send a cold server more than it
  // bears, because they don't know of the restart, or not of each other.
  it('should never exceed the limit in any second', () => {
    fc.assert(
      fc.property(caseArbitrary, fleetCase => {
        const {limit} = computeColdLimit(fleetCase.coldStart, fleetCase.bounds);
        const fleet = runFleet(clock, fleetCase);
        expect(fleet.findMostInSecond()).to.be.at.most(limit);
      }),
      createPropertyOptions(60),
    );
  }).timeout(60_000);

  // Guards against a pace that leaves a returned server idle.
  it('should use a good part of what the server bears', () => {
    const sizes = fc.integer({min: 1, max: 40});
    fc.assert(
      fc.property(sizes, fc.integer({min: 1, max: 10_000}), (routers, seed) => {
        const fleet = runFleet(clock, {...calmCase, routers, seed});
        const {durationMs, requestsPerSecond} = calmCase.coldStart;
        const arrivals = fleet.listColdArrivals(durationMs).length;
        const borne = (requestsPerSecond * durationMs) / 1_000;
        expect(arrivals).to.be.at.least(borne / 2);
      }),
      createPropertyOptions(15),
    );
  }).timeout(60_000);
});
