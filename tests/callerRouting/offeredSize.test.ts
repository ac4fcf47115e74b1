import FakeTimers, {type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {OfferedSize, SizeReason} from '../../src/callerRouting/offeredSize.js';
import {
  chooseSize,
  listUses,
  Resource,
  type RouterCapacity,
} from '../../src/callerRouting/routerSizing.js';

const fast = {linkMbps: 140, processorShare: 0.675};
const slow = {linkMbps: 7, processorShare: 0.227};

function repeat(router: RouterCapacity, count: number): RouterCapacity[] {
  return Array.from({length: count}, () => router);
}

const mixed = [...repeat(fast, 2), ...repeat(slow, 44)];
const light = {kbps: 2_000, milliCores: 480};

describe('number of offered routers', () => {
  const choose = (
    routers: readonly RouterCapacity[],
    kbps: number,
    milliCores: number,
    minSize = 2,
  ) => chooseSize(listUses(routers, {kbps, milliCores}), minSize);

  // Guards against 46 routers that each choose servers from their own view.
  it('should be that of the fast routers under light demand', () => {
    expect(choose(mixed, 2_000, 480)?.size).to.equal(2);
    expect(choose(mixed, 0, 0)?.size).to.equal(2);
  });

  // Guards against a cliff: the old rule offered all routers at once.
  it('should add a few slow routers when one of two fast ones is lost', () => {
    expect(choose(mixed.slice(1), 2_000, 480)?.size).to.equal(3);
  });

  // Callers choose at random, so the slow routers get as much as the fast ones.
  it('should add as many as the smallest capacity needs', () => {
    expect(choose(mixed, 2_000, 1_088)).to.include({size: 6});
    expect(choose(mixed, 141_000, 100)).to.include({
      size: 41,
      resource: Resource.Link,
    });
  });

  it('should be the one with the least use if none suffices', () => {
    expect(choose(mixed, 2_000, 14_400)).to.include({
      size: 46,
      resource: Resource.Processor,
    });
    // 20 slow links carry less than the two fast ones.
    expect(choose(mixed.slice(0, 22), 200_000, 100)?.size).to.equal(2);
  });

  it('should be all of equal routers', () => {
    expect(choose(repeat(fast, 3), 2_000, 480, 3)?.size).to.equal(3);
  });
});

describe('changes of the number of offered routers', () => {
  let clock: Clock;
  let offered: OfferedSize;

  beforeEach(() => {
    clock = FakeTimers.install({toFake: ['performance']});
    offered = new OfferedSize();
  });

  afterEach(() => {
    clock.uninstall();
  });

  /** Lists the changes, with two updates a second. */
  function run(
    seconds: number,
    milliCores: (second: number) => number,
    routers = mixed,
  ) {
    return Array.from({length: seconds * 2}, (_, i) => {
      clock.tick(500);
      const demand = {...light, milliCores: milliCores(i / 2)};
      return offered.update({routers, minSize: 2, demand});
    }).flatMap(change => (change ? [change] : []));
  }

  it('should grow at once and shrink in steps of 5 s', () => {
    run(10, () => 480);
    expect(offered.size).to.equal(2);
    const [grown] = run(1, () => 6_400);
    expect(grown.reason).to.equal(SizeReason.Demand);
    expect(offered.size).to.equal(36);
    expect(run(4, () => 480)).to.deep.equal([]);
    run(1, () => 480);
    expect(offered.size).to.equal(18);
    const sizes = run(20, () => 480).map(({to}) => to.size);
    expect(sizes).to.deep.equal([9, 5, 3, 2]);
  });

  // Guards against steps to numbers that are too small although smaller ones,
  // of fast routers only, suffice.
  it('should pass over numbers that do not suffice', () => {
    run(1, () => 1_120);
    expect(offered.size).to.equal(7);
    const sizes = run(15, () => 960).map(({to}) => to.size);
    expect(sizes).to.deep.equal([6, 2]);
  });

  // Guards against callers whose addresses change each second.
  it('should not change while the demand moves around a threshold', () => {
    run(10, () => 480);
    const changes = run(60, second => 1_080 + 48 * Math.sin(second * 2));
    expect(changes.map(({to}) => to.size)).to.deep.equal([7]);
  });

  // Guards against routers that send callers to different routers for good,
  // because they started at different times or hear of the demand late.
  it('should agree between routers with older sums or another past', () => {
    const measure = (second: number) =>
      second < 30 ? 1_080 + 48 * Math.sin(second * 2) : 1_024;
    const late = new OfferedSize();
    let young: OfferedSize | undefined;
    for (let second = 0; second < 60; second += 0.5) {
      clock.tick(500);
      if (second === 28) young = new OfferedSize();
      const update = (size: OfferedSize, atSecond: number) => {
        const demand = {...light, milliCores: measure(atSecond)};
        size.update({routers: mixed, minSize: 2, demand});
        return size.size;
      };
      const own = update(offered, second);
      const other = update(late, Math.max(0, second - 2.5));
      if (young) update(young, second);
      const name = `after ${second} s`;
      if (second > 5 && second < 30) expect(own, name).to.equal(7);
      if (second > 5 && second < 30) expect(other, name).to.equal(7);
    }
    for (const size of [offered, late, young]) expect(size?.size).to.equal(2);
  });

  // Guards against steps that are taken back every 5 s: the sums count callers
  // who move at the router that they left and at the one that they use now.
  it('should not grow when callers who have moved count twice', () => {
    run(1, () => 1_248);
    expect(offered.size).to.equal(7);
    expect(run(5, () => 624).at(-1)?.to.size).to.equal(4);
    expect(run(2, () => 936)).to.deep.equal([]);
    expect(run(1, () => 624)).to.deep.equal([]);
    const [grown] = run(1, () => 936);
    expect(grown.to.size).to.equal(6);
  });

  it('should offer all routers in an overload, and keep them', () => {
    run(10, () => 480);
    const changes = run(20, second => 12_800 + 1_600 * (second % 2));
    expect(changes).to.have.length(1);
    expect(changes[0]).to.deep.include({reason: SizeReason.Overload, from: 2});
    expect(offered.size).to.equal(46);
  });

  // Guards against a hold on numbers that a starting router chose before it
  // knew the routers with fast links.
  it('should follow the known routers at once after the start', () => {
    const update = (routers: RouterCapacity[], minSize: number) =>
      offered.update({routers, minSize, demand: light});
    update(repeat(slow, 10), 10);
    expect(offered.size).to.equal(10);
    clock.tick(500);
    expect(update(mixed, 2)?.reason).to.equal(SizeReason.SpareCapacity);
    expect(offered.size).to.equal(2);
    // Later, the return of lost routers is followed when they have stayed.
    clock.tick(60_000);
    update(repeat(slow, 44), 44);
    expect(offered.size).to.equal(44);
    clock.tick(4_900);
    expect(update(mixed, 2)).to.equal(undefined);
    clock.tick(200);
    update(mixed, 2);
    expect(offered.size).to.equal(2);
  });
});
