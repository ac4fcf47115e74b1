import {expect} from 'chai';
import {
  estimateRetryAfterMs,
  estimateStartRetryAfterMs,
} from '../../src/router/returnTime.js';

describe('time to come back', () => {
  it('should be the time until a server accepts requests again', () => {
    expect(estimateRetryAfterMs(2_000, () => 0)).to.equal(2_000);
    expect(estimateRetryAfterMs(2_000, () => 1)).to.equal(2_400);
  });

  it('should be short at a router that has just started', () => {
    expect(estimateStartRetryAfterMs(10, () => 1)).to.equal(300);
  });

  // All routers were lost and the platform stayed silent for two seconds more.
  // Callers that were told to come back after 300 ms were refused twice and
  // gave up before it returned.
  it('should outlast an outage of the platform after the loss of all routers', () => {
    const outageMs = 2_000;
    const draws = [0, 0.25, 0.5, 0.75, 1];
    for (let elapsedMs = 200; elapsedMs < outageMs; elapsedMs += 100) {
      const returns = draws.map(
        draw => elapsedMs + estimateStartRetryAfterMs(elapsedMs, () => draw),
      );
      const served = returns.filter(atMs => atMs > outageMs);
      expect(served.length).to.be.at.least(draws.length / 2);
    }
  });

  it('should stay within bounds, and differ between callers', () => {
    const longest = estimateStartRetryAfterMs(60_000, () => 1);
    expect(longest).to.be.at.most(6_250);
    expect(estimateStartRetryAfterMs(60_000, () => 0)).to.be.lessThan(longest);
  });
});
