import {expect} from 'chai';
import {computeReadRank} from '../../src/router/readOrder.js';

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
});
