import {expect} from 'chai';
import {RouterFixture} from './routerFixture.js';

const prompts = 24;
/** About 100 ms of prefill at the rate that a router assumes at first. */
const promptTokens = '4000';
/** Above the target of the route, 300 ms; far below the callers' patience. */
const maxRefusalMs = 700;

describe('prompts at engines that are full', () => {
  let fixture: RouterFixture;

  beforeEach(() => {
    fixture = new RouterFixture();
  });

  afterEach(() => fixture.stop());

  // Guards against holding prompts until their callers are about to give up, and
  // then sending them to engines that can't begin them in time.
  it('should be refused once they would be late, with a time to come back', async () => {
    let arrivals = 0;
    await fixture.addBackend(() => (arrivals += 1));
    const router = await fixture.addRouter();
    await fixture.waitReady(router);
    const startedAtMs = performance.now();
    const calls = Array.from({length: prompts}, async (_, index) => {
      const headers = {
        'x-prompt': `p${index}`,
        'x-prompt-tokens': promptTokens,
        'x-deadline': '2500',
      };
      const answer = await fixture.call(router, '/draft/1', {headers});
      return {...answer, ms: performance.now() - startedAtMs};
    });
    await fixture.waitUntil(() => arrivals > 0, 'the first prompt');
    const answers = await Promise.all(calls);
    const refused = answers.filter(({status}) => status === 503);
    // The target leaves time for three prompts, and then spare time for some.
    expect(arrivals).to.be.within(2, 8);
    expect(refused).to.have.length(prompts - arrivals);
    for (const {ms, headers} of refused) {
      expect(ms).to.be.below(maxRefusalMs);
      expect(Number(headers['retry-after'])).to.be.above(0.1);
    }
  });
});
