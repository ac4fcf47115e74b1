import FakeTimers, {type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {
  CallerAddresses,
  type OfferableRouter,
} from '../../src/callerRouting/callerAddresses.js';
import {FleetTotals} from '../../src/fleetTotals/fleetTotals.js';
import {Log} from '../../src/node/log.js';
import type {ZoneDemand} from '../../src/callerRouting/routerSizing.js';

const fastMbps = 140;
const slowMbps = 7;

describe('addresses for callers', () => {
  let clock: Clock;
  let routers: OfferableRouter[];
  let demand: ZoneDemand;

  beforeEach(() => {
    clock = FakeTimers.install({toFake: ['performance']});
    routers = [];
    demand = {kbps: 0, milliCores: 0};
  });

  afterEach(() => {
    clock.uninstall();
  });

  function add(
    count: number,
    linkMbps: number,
    {zone = 'a', isOffered = true} = {},
  ): string[] {
    const added = Array.from({length: count}, (_, i) => ({
      host: `${zone}-${linkMbps}-${i}`,
      callers: `${zone}-${linkMbps}-${i}:80`,
      zone,
      linkMbps,
      processorShare: linkMbps === fastMbps ? 0.675 : 0.227,
      isOffered,
    }));
    routers.push(...added);
    return added.map(({callers}) => callers);
  }

  function buildAddresses(): CallerAddresses {
    return new CallerAddresses({
      zone: 'a',
      listRouters: () => routers,
      totals: new FleetTotals({usesRelays: () => false}),
      measureDemand: () => demand,
      log: new Log({}),
    });
  }

  it('should be those of the own zone only if there are enough', () => {
    const addresses = buildAddresses();
    add(1, fastMbps);
    const far = add(1, fastMbps, {zone: 'b'});
    expect(addresses.list('a')).to.have.length(2);
    const near = add(1, fastMbps + 1);
    clock.tick(500);
    expect(addresses.list('a')).to.include(near[0]).and.not.include(far[0]);
    expect(addresses.list('a')).to.have.length(2);
    expect(addresses.list('b')).to.have.length(3);
    expect(addresses.list(undefined)).to.have.length(3);
  });

  // As at a fleet of 12 equal VMs: these have always been offered.
  it('should be all of equal routers, at most 64', () => {
    const addresses = buildAddresses();
    const equal = add(4, fastMbps);
    expect(addresses.list('a')).to.have.members(equal);
    add(100, fastMbps - 1);
    clock.tick(500);
    expect(addresses.list('a')).to.have.length(64);
  });

  it('should be the fast ones, whatever the number of slow ones', () => {
    const addresses = buildAddresses();
    add(44, slowMbps);
    const fast = add(2, fastMbps);
    demand = {kbps: 2_000, milliCores: 480};
    expect(addresses.list('a')).to.have.members(fast);
    add(100, slowMbps + 1);
    clock.tick(500);
    expect(addresses.list('a')).to.have.members(fast);
  });

  // The processor share of a slow router limits the traffic of each.
  it('should be a few more after the loss of a fast one, and all without any', () => {
    const addresses = buildAddresses();
    const slow = add(44, slowMbps);
    const [first, second] = add(2, fastMbps);
    demand = {kbps: 2_000, milliCores: 480};
    expect(addresses.list('a')).to.have.members([first, second]);
    routers = routers.filter(({callers}) => callers !== first);
    clock.tick(500);
    const left = addresses.list('a');
    expect(left).to.include(second).and.have.length(3);
    routers = routers.filter(({callers}) => callers !== second);
    clock.tick(500);
    expect(addresses.list('a')).to.have.members(slow);
  });

  // Resting routers know only the demand of their own zone.
  it('should be those of another zone that are offered there', () => {
    add(2, fastMbps);
    const offered = add(2, fastMbps, {zone: 'b'});
    offered.push(...add(3, slowMbps, {zone: 'b'}));
    add(20, slowMbps + 1, {zone: 'b', isOffered: false});
    expect(buildAddresses().list('b')).to.have.members(offered);
    // They have just ended, and the others don't know it yet.
    routers = routers.filter(
      ({zone, linkMbps}) => zone === 'a' || linkMbps > slowMbps + 1,
    );
    add(20, slowMbps, {zone: 'b', isOffered: false});
    expect(buildAddresses().list('b')).to.have.members(offered.slice(0, 2));
  });

  it('should come in the same order at each router', () => {
    add(44, slowMbps);
    add(2, fastMbps);
    demand = {kbps: 2_000, milliCores: 1_600};
    const own = buildAddresses().list('a');
    routers.reverse();
    expect(buildAddresses().list('a')).to.deep.equal(own);
    expect(own).to.have.length(9);
  });
});
