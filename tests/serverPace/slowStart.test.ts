import FakeTimers, {type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {ServerOutcomes} from '../../src/router/serverOutcomes.js';
import {ServerResponse, SlowStart} from '../../src/serverPace/slowStart.js';

const server = {id: 'engine-1', slots: 16};
const serviceTimeMs = 100;
const expectedMs = 120;

describe('slow start of a server', () => {
  let clock: Clock;
  let slowStart: SlowStart;

  beforeEach(() => {
    clock = FakeTimers.install({toFake: ['performance']});
    slowStart = new SlowStart({isEnabled: true, countRouters: () => 2});
  });

  afterEach(() => clock.uninstall());

  /** Sends as much as the window allows, up to `most`. */
  function fillWindow(most: number): number {
    let inFlight = 0;
    while (inFlight < most && slowStart.canSend(server, inFlight)) inFlight++;
    return inFlight;
  }

  function recordResponses(
    response: ServerResponse,
    count = 1,
    sentAtMs?: number,
  ) {
    let hasRecovered = false;
    for (let i = 0; i < count; i++) {
      hasRecovered = slowStart.record(server, {
        response,
        sentAtMs: sentAtMs ?? performance.now(),
        inFlight: count,
      });
    }
    return hasRecovered;
  }

  /** Runs rounds at a server that is on time with `bearable` in flight. */
  function runRounds(rounds: number, bearable: number): number[] {
    return Array.from({length: rounds}, () => {
      const sentAtMs = performance.now();
      const inFlight = fillWindow(100);
      const slowness = Math.max(1, inFlight / bearable);
      clock.tick(serviceTimeMs * slowness);
      const isOnTime = serviceTimeMs * slowness <= expectedMs;
      const response = isOnTime ? ServerResponse.OnTime : ServerResponse.Late;
      recordResponses(response, inFlight, sentAtMs);
      return inFlight;
    });
  }

  // Guards against a server that gets all requests at once after its start, and
  // against one that is kept small though it responds well.
  it('should double the requests in flight each round up to the part of the slots', () => {
    slowStart.begin(server.id);
    expect(runRounds(4, Infinity)).to.deep.equal([1, 2, 4, 100]);
    expect(slowStart.list()).to.deep.equal([]);
  });

  // Load: callers want far more than the server bears. Guards against a server
  // that is overloaded as soon as it is back, and against one left idle.
  it('should stay near what a loaded server bears', () => {
    slowStart.begin(server.id);
    const inFlight = runRounds(30, 3);
    expect(Math.max(...inFlight)).to.be.at.most(2 * 3);
    expect(Math.min(...inFlight)).to.equal(1);
    const mean = inFlight.reduce((sum, n) => sum + n, 0) / inFlight.length;
    expect(mean).to.be.at.least(3 / 2);
  });

  // Guards against one bad moment that counts once for each request in flight.
  it('should halve once for all requests sent before', () => {
    const sentAtMs = performance.now();
    clock.tick(10);
    recordResponses(ServerResponse.Failed, 8, sentAtMs);
    expect(slowStart.list()).to.deep.equal([{id: server.id, window: 4}]);
    clock.tick(10);
    recordResponses(ServerResponse.Rejected);
    expect(slowStart.list()).to.deep.equal([{id: server.id, window: 2}]);
  });

  it('should not begin when a sound server is late', () => {
    recordResponses(ServerResponse.Late, 4);
    expect(fillWindow(100)).to.equal(100);
  });

  // Guards against requests without a server while all are starting.
  it('should prefer other servers, and yield where there is none', () => {
    const other = {id: 'engine-2', slots: 16};
    slowStart.begin(server.id);
    const getInFlight = () => 1;
    expect(slowStart.listOpen([server, other], getInFlight)).to.deep.equal([
      other,
    ]);
    expect(slowStart.listOpen([server], getInFlight)).to.deep.equal([server]);
  });

  // Failure: the server is down for a moment. Guards against one that works
  // again and is avoided for seconds, and against one that fails every other
  // request and counts as sound.
  it('should end the weight of failures once the server responds well again', () => {
    const outcomes = new ServerOutcomes();
    for (let i = 0; i < 5; i++) outcomes.recordFailure(server.id);
    recordResponses(ServerResponse.Failed, 5);
    expect(recordResponses(ServerResponse.OnTime, 2)).to.equal(false);
    recordResponses(ServerResponse.Failed);
    expect(recordResponses(ServerResponse.OnTime, 2)).to.equal(false);
    expect(recordResponses(ServerResponse.OnTime)).to.equal(true);
    outcomes.clearFailures(server.id);
    expect(outcomes.get(server.id).failures).to.equal(0);
  });

  it('should do nothing unless it is enabled', () => {
    slowStart = new SlowStart({isEnabled: false, countRouters: () => 2});
    slowStart.begin(server.id);
    recordResponses(ServerResponse.Failed, 4);
    expect(fillWindow(100)).to.equal(100);
  });
});
