import {EventEmitter} from 'node:events';
import FakeTimers, {type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {
  CallerTraffic,
  DemandMeter,
} from '../../src/callerRouting/demandMeter.js';

class FakeSocket extends EventEmitter {
  bytesRead = 0;
  bytesWritten = 0;
}

describe('demand of callers', () => {
  let clock: Clock;
  let traffic: CallerTraffic;
  let meter: DemandMeter;
  let acceptWaitMs: number;

  beforeEach(() => {
    clock = FakeTimers.install({toFake: ['performance']});
    traffic = new CallerTraffic();
    acceptWaitMs = 0;
    meter = new DemandMeter({
      countBytes: () => traffic.countBytes(),
      measureAcceptWaitMs: () => acceptWaitMs,
      processorShare: 0.5,
    });
    meter.sample();
  });

  afterEach(() => {
    clock.uninstall();
  });

  function advance(periods: number, change: () => void): void {
    for (let i = 0; i < periods; i++) {
      clock.tick(500);
      change();
      meter.sample();
    }
  }

  // Guards against short connections that aren't counted.
  it('should count open and closed connections of the last second', () => {
    const open = new FakeSocket();
    traffic.add(open);
    advance(4, () => {
      open.bytesRead += 5_000;
      const short = new FakeSocket();
      traffic.add(short);
      short.bytesWritten = 1_250;
      short.emit('close');
    });
    expect(meter.demand.kbps).to.be.closeTo(100, 1e-6);
    advance(3, () => undefined);
    expect(meter.demand).to.deep.equal({kbps: 0, milliCores: 0});
  });

  // Guards against reports between routers that count as demand of callers: 46
  // idle routers would need more than the fast ones can carry.
  it('should not count the processor of a router without callers', () => {
    acceptWaitMs = 60;
    advance(4, () => undefined);
    expect(meter.demand.milliCores).to.equal(0);
  });

  // Guards against slow routers that are offered because the processors of the
  // fast ones are busy, though these accept all connections at once.
  it('should not count the processor while no connection waits', () => {
    const socket = new FakeSocket();
    traffic.add(socket);
    acceptWaitMs = 50;
    advance(4, () => (socket.bytesRead += 1_000_000));
    expect(meter.demand.milliCores).to.equal(0);
  });

  // The event loop is idle in part even while connections wait: it accepts one
  // in each iteration.
  it('should count a router as full while connections wait', () => {
    const socket = new FakeSocket();
    traffic.add(socket);
    acceptWaitMs = 60;
    advance(2, () => (socket.bytesRead += 1));
    expect(meter.demand.milliCores).to.equal(500);
  });
});
