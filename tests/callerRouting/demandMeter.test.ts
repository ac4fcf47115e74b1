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
  let busyMs: number;

  beforeEach(() => {
    clock = FakeTimers.install({toFake: ['performance']});
    traffic = new CallerTraffic();
    acceptWaitMs = 0;
    busyMs = 0;
    meter = new DemandMeter({
      countBytes: () => traffic.countBytes(),
      measureAcceptWaitMs: () => acceptWaitMs,
      processorShare: 0.5,
      readLoop: () => ({
        active: busyMs,
        idle: performance.now() - busyMs,
        utilization: 0,
      }),
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
      busyMs += 100;
    });
    expect(meter.demand.kbps).to.be.closeTo(100, 1e-6);
    expect(meter.demand.milliCores).to.be.closeTo(100, 1e-6);
    advance(3, () => undefined);
    expect(meter.demand).to.deep.equal({kbps: 0, milliCores: 0});
  });

  // Guards against reports between routers that count as demand of callers: 46
  // idle routers would need more than the fast ones can carry.
  it('should not count the processor time of a router without callers', () => {
    advance(4, () => (busyMs += 250));
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
