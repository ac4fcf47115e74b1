import {expect} from 'chai';
import {
  computePrefillWork,
  estimateCopyMs,
  estimateMissProbability,
  estimatePauseProbability,
  PrefillStatistics,
} from '../../src/router/engineModel.js';

describe('model of an engine', () => {
  // Guards against promising a prompt of 60,000 tokens in the time of four
  // prompts of 15,000.
  it('should count more work for tokens behind a long context', () => {
    const inOne = computePrefillWork(60_000, 0);
    expect(inOne).to.be.greaterThan(1.3 * 4 * computePrefillWork(15_000, 0));
    const first = computePrefillWork(20_000, 0);
    const second = computePrefillWork(40_000, 20_000);
    expect(first + second).to.equal(inOne);
  });

  it('should take the time of a copy from the size of a token and the link', () => {
    const dense = {kvBytesPerToken: 327_680, kvLinkMbps: 550_000};
    const sparse = {kvBytesPerToken: 18_432, kvLinkMbps: 280_000};
    expect(estimateCopyMs(13_300, dense, true)).to.be.within(68, 75);
    expect(estimateCopyMs(13_300, dense, false)).to.be.within(130, 140);
    expect(estimateCopyMs(13_300, sparse, true)).to.be.lessThan(20);
    expect(estimateCopyMs(13_300, {kvBytesPerToken: 1}, true)).to.equal(8);
  });

  it('should see little risk well before the target and much after it', () => {
    expect(estimateMissProbability(500, 0, 2_000)).to.be.lessThan(0.01);
    expect(estimateMissProbability(2_000, 0, 2_000)).to.equal(0.5);
    expect(estimateMissProbability(900, 0, 400)).to.be.greaterThan(0.99);
    const waited = estimateMissProbability(100, 600, 500);
    expect(waited).to.equal(estimateMissProbability(700, 0, 500));
  });

  it('should see no harm in a prefill that is short against the pause', () => {
    expect(estimatePauseProbability(60, 250)).to.equal(0);
    expect(estimatePauseProbability(300, 250)).to.equal(1);
    const longer = estimatePauseProbability(200, 250);
    expect(longer).to.be.greaterThan(estimatePauseProbability(120, 250));
  });
});

describe('statistics of prefills', () => {
  // Guards against a rate that is learned at idle engines only: in a burst on
  // cold engines every sample has a backlog, and routers kept the assumed rate.
  it('should learn the rate in a burst in which every prompt has a backlog', () => {
    const statistics = new PrefillStatistics();
    const actualTokensPerMs = 20;
    for (let i = 0; i < 20; i++) {
      const work = {prefillWork: 9_000, backlogWork: 12_000, speed: 1};
      statistics.record(work, 20 + 21_000 / actualTokensPerMs);
    }
    expect(statistics.tokensPerMs).to.be.within(19, 21);
  });

  // Guards against one stalled engine that makes a router expect all prompts to
  // be late for the next twenty, and hold them.
  it('should keep most of the rate after a first event that stalled', () => {
    const statistics = new PrefillStatistics();
    const work = {prefillWork: 3_000, backlogWork: 0, speed: 1};
    for (let i = 0; i < 40; i++) statistics.record(work, 20 + 3_000 / 50);
    expect(statistics.tokensPerMs).to.be.within(48, 52);
    statistics.record(work, 8_000);
    expect(statistics.tokensPerMs).to.be.greaterThan(35);
  });

  it('should weigh long prompts more in what is left of the one in progress', () => {
    const statistics = new PrefillStatistics();
    expect(statistics.residualWork).to.equal(0);
    for (let i = 0; i < 200; i++) {
      const prefillWork = i % 10 === 0 ? 20_000 : 1_000;
      statistics.record({prefillWork, backlogWork: 0, speed: 1}, 100);
    }
    const meanWork = (20_000 + 9 * 1_000) / 10;
    expect(statistics.residualWork).to.be.greaterThan(meanWork);
    expect(statistics.residualWork).to.be.lessThan(20_000);
  });
});
