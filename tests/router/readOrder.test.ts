import {expect} from 'chai';
import {
  computeReadRank,
  computeRetryDelayMs,
  computeTakeoverAgeMs,
} from '../../src/router/readOrder.js';

const hosts = Array.from({length: 35}, (_, i) => `10.0.1.${10 + i}`);

describe('order in which routers read the published state', () => {
  it('should be the same on all routers', () => {
    const ranks = hosts.map(host =>
      computeReadRank({
        host,
        isRelay: false,
        relays: [],
        alive: hosts.filter(other => other !== host),
        hasContact: true,
      }),
    );
    expect(ranks).to.deep.equal(hosts.map((_, index) => index));
  });

  it('should begin with the relays', () => {
    const [first, second] = hosts;
    const view = {relays: [second], alive: hosts, hasContact: true};
    const relay = computeReadRank({...view, host: second, isRelay: true});
    const member = computeReadRank({...view, host: first, isRelay: false});
    expect(relay).to.equal(0);
    expect(member).to.be.greaterThan(relay);
  });

  // Guards against a router that has lost its relay, and that waits for its turn
  // after routers whose reads it wouldn't hear of.
  it('should not let a router wait for others that it does not hear', () => {
    const rank = computeReadRank({
      host: hosts[34],
      isRelay: false,
      relays: [],
      alive: hosts.slice(0, 34),
      hasContact: false,
    });
    expect(rank).to.equal(0);
  });

  // Guards against routers that use outdated servers and deployments for seconds:
  // when both relays of a zone were lost, the last of 35 members read 3.6 s
  // after the reader had stopped.
  it('should let the last router read before the bound for leaving servers', () => {
    for (const leaveBoundMs of [2_000, 3_000, 4_000]) {
      const readIntervalMs = leaveBoundMs * 0.4;
      const ages = [0, 1, 10, 42, 380].map(rank =>
        computeTakeoverAgeMs(rank, readIntervalMs, leaveBoundMs),
      );
      expect(ages).to.deep.equal([...ages].sort((a, b) => a - b));
      expect(ages[0]).to.be.at.least(readIntervalMs);
      expect(ages[4]).to.be.at.most(0.8 * leaveBoundMs);
    }
  });

  // Guards against a fleet whose routers all call a platform that is down, each
  // once a second.
  it('should let routers late in the order retry less often', () => {
    expect(computeRetryDelayMs(0)).to.equal(0);
    expect(computeRetryDelayMs(30)).to.be.within(1_500, 3_000);
    expect(computeRetryDelayMs(380)).to.equal(5_000);
  });
});
