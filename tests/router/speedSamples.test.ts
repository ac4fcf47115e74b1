import {expect} from 'chai';
import {firstEventOverheadMs} from '../../src/router/engineModel.js';
import type {Selection} from '../../src/router/selection.js';
import {
  buildAnswerSample,
  buildFirstEventSample,
  computeOtherWaitMs,
} from '../../src/router/speedSamples.js';

const promptPrefillMs = 100;

/** A prompt that waits for the given time, partly for prompts before it. */
function buildEstimates(waitMs: number, backlogMs: number) {
  return {
    prefillWork: 4_000,
    backlogWork: backlogMs * 40,
    promptPrefillMs,
    backlogMs,
    expectedMs: firstEventOverheadMs + waitMs + promptPrefillMs,
  };
}

describe('samples of the speed of a server', () => {
  // Guards against copies that count as slow prefill, and against slots that
  // become free while prompts before are prefilled and count as fast prefill.
  it('should leave out only the wait that is longer than the backlog', () => {
    expect(computeOtherWaitMs(buildEstimates(60, 0))).to.equal(60);
    expect(computeOtherWaitMs(buildEstimates(60, 60))).to.equal(0);
    expect(computeOtherWaitMs(buildEstimates(90, 60))).to.equal(30);
  });

  it('should take the time without fixed part, copy and wait for a slot', () => {
    const ms = firstEventOverheadMs + 60 + 120;
    const served = {ms, slowness: 1.2};
    const sample = buildFirstEventSample(buildEstimates(60, 0), served);
    expect(sample).to.include({work: 4_000, ms: 120, expectedMs: 100});
  });

  // Guards against speeds learned from the length of a queue for slots.
  it('should take nothing from a prompt that mostly waited for a slot', () => {
    const served = {ms: 400, slowness: 1};
    const sample = buildFirstEventSample(buildEstimates(250, 0), served);
    expect(sample).to.equal(undefined);
  });

  it('should take nothing from a plain server whose slots were all in use', () => {
    const server = {slots: 4};
    const build = (serverRequests: number) => {
      const selection = {server, serverRequests, prefillWork: 0};
      return buildAnswerSample({...selection, expectedMs: 80} as Selection, {
        ms: 90,
        slowness: 1,
      });
    };
    expect(build(3)?.ms).to.equal(90);
    expect(build(4)).to.equal(undefined);
  });
});
