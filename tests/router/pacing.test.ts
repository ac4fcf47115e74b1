import FakeTimers, {type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {Pacing, type PacingOptions} from '../../src/router/pacing.js';

const server = {id: 'engine-1', slots: 16, zone: 'a', warmUpMs: 0};

describe('slow start after the return of a zone', () => {
  let clock: Clock;
  /** As `Evacuations` measures it: 0 while the zone is evacuated. */
  let sinceReturnMs: number;
  let pacing: Pacing;

  beforeEach(() => {
    clock = FakeTimers.install({toFake: ['performance']});
    sinceReturnMs = Infinity;
    pacing = new Pacing({
      settings: {slowStart: true, seeds: []},
      directory: {
        watchReads: () => undefined,
        findUsable: () => server,
        listAll: () => [server],
      },
      metrics: {registerGauge: () => undefined},
      log: {logInfo: () => undefined},
      findOffered: () => ({host: '10.0.0.1', isOffered: true, others: []}),
      measureSinceReturnMs: () => sinceReturnMs,
    } as unknown as PacingOptions);
  });

  afterEach(() => clock.uninstall());

  // Guards against a window that begins with the evacuation, and has grown or
  // is missing when the zone returns.
  it('should begin at the return and not at the evacuation', () => {
    pacing.update();
    sinceReturnMs = 0;
    pacing.update();
    expect(pacing.slowStart.list()).to.deep.equal([]);
    sinceReturnMs = 100;
    pacing.update();
    expect(pacing.slowStart.list()).to.deep.equal([
      {id: 'engine-1', window: 1},
    ]);
  });
});
