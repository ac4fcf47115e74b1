import FakeTimers, {type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {FleetTotals} from '../../src/fleetTotals/fleetTotals.js';
import {TotalsTopic} from '../../src/fleetTotals/totalsReport.js';

const topic = TotalsTopic.CustomerUsage;
const customer = 7;

describe('totals of the fleet', () => {
  let clock: Clock;

  beforeEach(() => {
    clock = FakeTimers.install({toFake: ['performance']});
  });

  afterEach(() => {
    clock.uninstall();
  });

  function buildRouter(own: number, usesRelays: boolean): FleetTotals {
    const totals = new FleetTotals({usesRelays: () => usesRelays});
    totals.register(topic, () => [[customer, own]]);
    return totals;
  }

  // Guards against routers that decide by their own part of the use only.
  it('should add up all routers of a fleet without relays', () => {
    const first = buildRouter(10, false);
    first.recordPeer('b', buildRouter(5, false).listOwn(true), false);
    first.recordPeer('c', buildRouter(1, false).listOwn(true), false);
    expect(first.list(topic).get(customer)).to.deep.equal([16]);
  });

  // Guards against counting members twice: in their reports and in the sums.
  it('should add up the relays, which contain this router', () => {
    const member = buildRouter(10, true);
    const relay = buildRouter(5, true);
    const otherRelay = buildRouter(1, true);
    relay.recordPeer('member', member.listOwn(true), true);
    relay.recordRelay('other', otherRelay.listRelayed(true));
    member.recordRelay('relay', relay.listRelayed(true));
    member.recordRelay('other', otherRelay.listRelayed(true));
    expect(relay.list(topic).get(customer)).to.deep.equal([16]);
    expect(member.list(topic).get(customer)).to.deep.equal([16]);
  });

  // Guards against the use of a router that has ended counting for good.
  it('should drop a relay that has been silent for three full reports', () => {
    const member = buildRouter(10, true);
    member.recordRelay('relay', buildRouter(40, true).listRelayed(true));
    expect(member.list(topic).get(customer)).to.deep.equal([40]);
    clock.tick(3_700);
    expect(member.list(topic).get(customer)).to.deep.equal([10]);
  });

  // Guards against rows that count for good while the reports that contain them
  // are lost, or left out for a resting router.
  it('should drop rows that only reports of other topics follow', () => {
    const member = buildRouter(10, true);
    const relay = buildRouter(40, true);
    relay.register(TotalsTopic.ZoneTraffic, () => [[1, 1]]);
    member.recordRelay('relay', relay.listRelayed(true));
    for (let ms = 0; ms < 4_000; ms += 400) {
      clock.tick(400);
      member.recordRelay('relay', relay.listRelayed(false));
    }
    expect(member.list(topic).get(customer)).to.equal(undefined);
    const traffic = member.list(TotalsTopic.ZoneTraffic);
    expect(traffic.get(1)).to.deep.equal([1]);
  });
});
