import FakeTimers, {type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import fc from 'fast-check';
import {ShareKind} from '../../src/customerShares/customerShares.js';
import {computeFairShare} from '../../src/customerShares/fairShare.js';
import {WaitCause} from '../../src/customerShares/usageLedger.js';
import {ShareFleet, type ShareFleetOptions} from './shareFleet.js';

const stepMs = 20;
const costMs = 40;
const service = 'pen-models';

/** Load of one customer. */
interface Load {
  readonly customer: string;
  /** Work that its requests ask for, in servers. */
  readonly servers: number;
  readonly tier?: number;
  /** Times that it repeats a refused request at once. */
  readonly repeats?: number;
}

describe('shares of customers', () => {
  let clock: Clock;

  beforeEach(() => {
    clock = FakeTimers.install({toFake: ['performance']});
  });

  afterEach(() => clock.uninstall());

  function buildFleet(options: Partial<ShareFleetOptions> = {}): ShareFleet {
    const customers = ['museum', 'library', 'theatre', 'archive'];
    return new ShareFleet({
      clock,
      routers: 4,
      customers,
      servers: 8,
      ...options,
    });
  }

  /** Sends the requests of customers at an even rate to routers in turn. */
  function run(fleet: ShareFleet, loads: readonly Load[], ms: number): void {
    const due = loads.map(() => 0);
    let turn = 0;
    for (let passedMs = 0; passedMs < ms; passedMs += stepMs) {
      fleet.advance(stepMs);
      // Each customer is the first in turn, so that none finds room more often.
      for (let i = 0; i < loads.length; i++) {
        const index = (i + passedMs / stepMs) % loads.length;
        const {customer, servers, tier = 1, repeats = 0} = loads[index];
        due[index] += (servers * stepMs) / costMs;
        for (; due[index] >= 1; due[index] -= 1) {
          const claim = {service, tier, customer};
          fleet.send(claim, turn++, costMs, repeats);
        }
      }
    }
  }

  const usual: Load[] = ['museum', 'library', 'theatre', 'archive'].map(
    customer => ({customer, servers: 1.6}),
  );

  function buildLoads(customer: string, part: Partial<Load>): Load[] {
    return usual.map(load =>
      load.customer === customer ? {...load, ...part} : load,
    );
  }

  // Load: one customer sends 7.5 times its usual for 6.5 s. Guards against
  // refusing the requests of all customers alike.
  it('should refuse the customer that sends 7.5 times its usual', () => {
    const fleet = buildFleet();
    run(fleet, usual, 5_000);
    expect(fleet.getResult('museum').refused).to.equal(0);
    fleet.resetResults();
    run(fleet, buildLoads('museum', {servers: 12}), 6_500);
    const offered = (1.6 * 6_500) / costMs;
    for (const customer of ['library', 'theatre', 'archive']) {
      expect(fleet.getResult(customer).refused).to.be.below(offered * 0.1);
    }
    // The rest of the capacity, 3.2 servers, is left to it.
    const {servedMs, refused} = fleet.getResult('museum');
    expect(servedMs / 6_500).to.be.within(2.4, 4.8);
    expect(refused).to.be.above(900);
    // Guards against shares that stay after the load that they are for.
    run(fleet, usual, 4_000);
    fleet.resetResults();
    run(fleet, usual, 4_000);
    expect(fleet.getResult('museum').refused).to.equal(0);
    const museum = fleet.changes.filter(({customer}) => customer === 'museum');
    expect(museum[0].isBeyond).to.equal(true);
    expect(museum.at(-1)!.isBeyond).to.equal(false);
  });

  // Load: some repeat refused requests at once three times. Guards against a
  // share that grows with the requests that arrive.
  it('should not give more to those that repeat at once', () => {
    const fleet = buildFleet();
    const loads = [
      {customer: 'museum', servers: 6, repeats: 3},
      {customer: 'library', servers: 6, repeats: 3},
      {customer: 'theatre', servers: 6},
      {customer: 'archive', servers: 6},
    ];
    run(fleet, loads, 5_000);
    fleet.resetResults();
    run(fleet, loads, 20_000);
    for (const {customer} of loads) {
      const servers = fleet.getResult(customer).servedMs / 20_000;
      expect(servers).to.be.within(1.6, 2.4);
    }
  });

  // Load: many customers leave their shares unused. Guards against keeping
  // capacity for customers that don't ask for it.
  it('should leave unused shares to those with demand', () => {
    const customers = Array.from({length: 24}, (_, index) => `c${index}`);
    const fleet = buildFleet({customers});
    const loads = [
      {customer: 'c0', servers: 20},
      ...customers.slice(1, 5).map(customer => ({customer, servers: 0.1})),
    ];
    run(fleet, loads, 5_000);
    fleet.resetResults();
    run(fleet, loads, 10_000);
    expect(fleet.getResult('c0').servedMs / 10_000).to.be.above(6.5);
    expect(fleet.getResult('c1').refused).to.be.below(4);
  });

  // Load: customers of different tiers, one of which sends too much. Guards
  // against a tier that yields to another one.
  it('should not compare customers of different tiers', () => {
    const fleet = buildFleet({routers: 1});
    const urgent = {service, tier: 0, customer: 'museum'};
    const other = {service, tier: 1, customer: 'library'};
    for (let i = 0; i < 30; i++) fleet.send(urgent, 0, costMs);
    const shares = fleet.getShares(0);
    shares.recordRefusal(other, WaitCause.Capacity, costMs);
    clock.tick(50);
    expect(shares.check(urgent).kind).to.equal(ShareKind.Unlimited);
    shares.recordRefusal({...other, tier: 0}, WaitCause.Capacity, costMs);
    clock.tick(50);
    expect(shares.check(urgent).kind).to.equal(ShareKind.Beyond);
  });

  // Guards against a return before the use has decayed to the share, and against
  // yielding to nobody.
  it('should tell when a customer will be within its share', () => {
    const fleet = buildFleet({routers: 1});
    const claim = {service, tier: 1, customer: 'museum'};
    const refused = {...claim, customer: 'library'};
    for (let i = 0; i < 30; i++) fleet.send(claim, 0, costMs);
    const shares = fleet.getShares(0);
    shares.recordRefusal(refused, WaitCause.Capacity, 300);
    clock.tick(50);
    const state = shares.check(claim);
    if (state.kind !== ShareKind.Beyond) throw new Error('not beyond');
    expect(state.withinMs).to.be.within(200, 2_000);
    const museum = shares.listShares().find(share => share.isBeyond)!;
    expect(museum.claim.customer).to.equal('museum');
    clock.tick(state.withinMs);
    const usageMs = shares.sumUsage().get('museum')!;
    expect(usageMs).to.be.closeTo(museum.shareMs, 10);
    // Nobody lacks room any more.
    clock.tick(300);
    expect(shares.check(claim).kind).to.equal(ShareKind.Unlimited);
  });

  // Guards against holding requests of the largest customer while the tier still
  // counts as short, although the only request that waited has been sent.
  it('should not yield to a customer whose requests have been sent', () => {
    const shares = buildFleet({routers: 1}).getShares(0);
    const claim = {service, tier: 1, customer: 'museum'};
    const other = {...claim, customer: 'library'};
    for (let i = 0; i < 30; i++) shares.recordSend(claim, costMs);
    const endWait = shares.recordWait(other, costMs, WaitCause.Capacity);
    clock.tick(50);
    shares.recordSend(claim, costMs);
    expect(shares.check(claim).kind).to.equal(ShareKind.Beyond);
    endWait();
    shares.recordSend(other, costMs);
    // Sums of the fleet are kept for 100 ms; the tier is short for 300 ms.
    clock.tick(100);
    shares.check(claim);
    shares.recordSend(claim, costMs);
    expect(shares.check(claim).kind).to.equal(ShareKind.Within);
  });

  // Load: none beyond the capacity, at very different rates. Guards against any
  // decision that depends on the customer while capacity isn't short.
  it('should limit nobody while no request lacks room', () => {
    const fleet = buildFleet();
    run(fleet, buildLoads('museum', {servers: 3}), 10_000);
    for (const {customer} of usual) {
      expect(fleet.getResult(customer).refused).to.equal(0);
      const claim = {service, tier: 1, customer};
      const {kind} = fleet.getShares(0).check(claim);
      expect(kind).to.equal(ShareKind.Unlimited);
    }
  });

  // Failure: the reports of one router are lost. Guards against a router that
  // goes on sending what the others refuse.
  it('should hold with a router whose reports are lost', () => {
    const fleet = buildFleet({
      drawDelay: router => (router === 2 ? undefined : 300),
    });
    run(fleet, usual, 5_000);
    fleet.resetResults();
    run(fleet, buildLoads('museum', {servers: 12}), 6_500);
    expect(fleet.getResult('museum').servedMs / 6_500).to.be.below(4.8);
    const offered = (1.6 * 6_500) / costMs;
    expect(fleet.getResult('library').refused).to.be.below(offered * 0.1);
  });

  // Guards against taking the use of withdrawn requests as work.
  it('should not count work that no server has run', () => {
    const fleet = buildFleet({routers: 1});
    const shares = fleet.getShares(0);
    const claim = {service, tier: 1, customer: 'museum'};
    shares.check(claim);
    const sent = Array.from({length: 9}, () => shares.recordSend(claim, 40));
    clock.tick(700);
    for (const work of sent) work.withdraw();
    clock.tick(100);
    expect(shares.sumUsage().get('museum')).to.be.below(1);
  });

  /**
   * A router knows the use by others a report interval and a delay of up to a
   * second late, and later by an interval for each lost report, of which two in
   * a row are allowed for. Until then, a customer may get all that it asks for.
   */
  const lateMs = 3 * 1_200 + 1_000;

  // Load: random customers, routers, delays and losses of reports.
  it('should give a customer that is refused as much as one beyond its share', () => {
    const load = fc.record({
      servers: fc.double({min: 0.2, max: 8, noNaN: true}),
      repeats: fc.integer({min: 0, max: 2}),
    });
    const schedule = fc.record({
      loads: fc.array(load, {minLength: 2, maxLength: 6}),
      routers: fc.integer({min: 1, max: 5}),
      servers: fc.integer({min: 1, max: 4}),
      maxDelayMs: fc.integer({min: 0, max: 1_000}),
      lossRatio: fc.double({min: 0, max: 0.2, noNaN: true}),
      seed: fc.integer({min: 1, max: 2 ** 31 - 2}),
    });
    const ms = 16_000;
    fc.assert(
      fc.property(schedule, ({maxDelayMs, lossRatio, seed, ...item}) => {
        let state = seed;
        const draw = () => (state = (state * 16_807) % 2_147_483_647) / 2 ** 31;
        const loads = item.loads.map((part, index) => ({
          ...part,
          customer: `c${index}`,
        }));
        const fleet = buildFleet({
          ...item,
          customers: loads.map(({customer}) => customer),
          drawDelay: () =>
            draw() < lossRatio ? undefined : draw() * maxDelayMs,
        });
        run(fleet, loads, ms);
        const served = loads.map(({customer, servers}) => ({
          usage: fleet.getResult(customer).servedMs,
          demand: Math.max(servers * ms, fleet.getResult(customer).servedMs),
          refused: fleet.getResult(customer).refused,
        }));
        const shareMs = computeFairShare(served);
        const isRefused = served.some(
          ({usage, demand, refused}) =>
            refused > 0 && demand > usage && usage < shareMs,
        );
        if (!isRefused) return;
        const excessMs = lateMs * (item.servers - shareMs / ms);
        for (const {usage} of served) {
          expect(usage).to.be.at.most(1.1 * shareMs + excessMs + costMs);
        }
      }),
      {numRuns: 25, seed: 20_261_206},
    );
  });
});
