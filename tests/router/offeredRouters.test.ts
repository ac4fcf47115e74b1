import {expect} from 'chai';
import {
  computeRestartDelayMs,
  findPosition,
  isAmongChosen,
} from '../../src/router/offeredRouters.js';

const offered = Array.from({length: 8}, (_, i) => `10.0.0.${i}`);
const resting = Array.from({length: 90}, (_, i) => `10.0.1.${i}`);

function findView(host: string) {
  return {
    host,
    isOffered: offered.includes(host),
    others: offered.filter(other => other !== host),
  };
}

describe('routers that callers are sent to', () => {
  // Guards against resting routers that each take themselves for the one that
  // probes a blocked prompt part.
  it('should choose one of them for each key, and never a resting router', () => {
    for (let key = 0; key < 50; key++) {
      const hosts = [...offered, ...resting];
      const chosen = hosts.filter(host =>
        isAmongChosen(`${key}`, 1, findView(host)),
      );
      expect(chosen).to.have.length(1);
      expect(offered).to.include(chosen[0]);
    }
  });

  it('should have positions that differ, and resting routers none', () => {
    const positions = offered.map(host => findPosition(findView(host)));
    expect(positions.map(position => position?.index)).to.deep.equal(
      offered.map((_, index) => index),
    );
    for (const position of positions) expect(position?.count).to.equal(8);
    expect(findPosition(findView(resting[0]))).to.equal(undefined);
  });

  // Guards against an error that stops all routers that callers are sent to at
  // once, because the same answer or message reaches all of them.
  it('should restart one after the other', () => {
    const delays = offered.map(host =>
      computeRestartDelayMs(findView(host), 10_000),
    );
    expect(delays).to.deep.equal(offered.map((_, index) => index * 10_000));
    expect(computeRestartDelayMs(findView(resting[0]), 10_000)).to.equal(0);
  });

  it('should have restarted within eight turns in a large fleet', () => {
    const delays = resting.map(host => {
      const others = resting.filter(other => other !== host);
      return computeRestartDelayMs({host, isOffered: true, others}, 10_000);
    });
    const turns = new Set(delays);
    for (const turn of turns) {
      const count = delays.filter(delayMs => delayMs === turn).length;
      expect(count).to.be.at.most(resting.length / 8);
    }
    expect(Math.max(...delays)).to.be.at.most(80_000);
  });
});
