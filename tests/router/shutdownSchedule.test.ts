import {expect} from 'chai';
import {install, type Clock} from '@sinonjs/fake-timers';
import {ShutdownSchedule} from '../../src/router/shutdownSchedule.js';

const graceMs = 8_000;
/** Cutting a request is excused from here on while its server works. */
const lastSixthMs = Math.ceil((graceMs * 5) / 6);

describe('schedule of a shutdown', () => {
  let clock: Clock;

  beforeEach(() => {
    clock = install({toFake: ['performance']});
  });

  afterEach(() => clock.uninstall());

  /** Returns the time from the start of the schedule to its end. */
  function measureMs(schedule: ShutdownSchedule): number {
    const startedAtMs = performance.now();
    while (!schedule.isOver()) clock.tick(1);
    return performance.now() - startedAtMs;
  }

  // Guards against being killed at the end of the grace period because the
  // signal was handled late.
  it('should end earlier if the signal was handled late', () => {
    const punctualMs = measureMs(new ShutdownSchedule(graceMs, 0));
    const lateMs = measureMs(new ShutdownSchedule(graceMs, 400));
    expect(punctualMs - lateMs).to.equal(400);
  });

  // Guards against being killed because each of the last steps is as late as the
  // timers before.
  it('should end earlier if timers fire late', () => {
    const punctualMs = measureMs(new ShutdownSchedule(graceMs, 0));
    const schedule = new ShutdownSchedule(graceMs, 0);
    schedule.recordLag(300);
    schedule.recordLag(100);
    expect(punctualMs - measureMs(schedule)).to.equal(300);
  });

  // Guards against cutting requests before that is excused: the signal may have
  // been sent at any time up to its handling.
  it('should not end before the last sixth after the handling', () => {
    const schedule = new ShutdownSchedule(graceMs, 2_000);
    schedule.recordLag(500);
    expect(measureMs(schedule)).to.equal(lastSixthMs);
  });

  // Guards against accepting requests that are sent over 3 s after the signal.
  it('should accept no request long after a signal that was late', () => {
    expect(new ShutdownSchedule(graceMs, 700).acceptMs).to.equal(2_100);
    expect(new ShutdownSchedule(graceMs, 5_000).acceptMs).to.equal(0);
  });
});
