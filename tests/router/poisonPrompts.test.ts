import type net from 'node:net';
import {expect} from 'chai';
import {waitFor} from '../../src/node/delay.js';
import {
  formatChunk,
  formatStreamHead,
  lastChunk,
  readHeader,
  RouterFixture,
  type RunningRouter,
} from './routerFixture.js';

/** Time between requests that crash servers; more than crashes merge within. */
const intervalMs = 300;
/** Time until all routers refuse such a request after the third crash. */
const learnMs = 1_500;

describe('prompts with a part that crashes servers', () => {
  let fixture: RouterFixture;
  let crashes: number;

  beforeEach(async () => {
    fixture = new RouterFixture();
    crashes = 0;
    const script = (socket: net.Socket, request: string) => {
      if (readHeader(request, 'x-prompt').includes('deadly')) {
        crashes += 1;
        socket.destroy();
        return;
      }
      const event = formatChunk('id: 1\n\n');
      socket.write(formatStreamHead(request) + event + lastChunk);
    };
    for (let i = 0; i < 3; i++) await fixture.addBackend(script);
  });

  afterEach(() => fixture.stop());

  function call(router: RunningRouter, prompt: string) {
    return fixture.call(router, '/ask/1', {
      headers: {'x-prompt': prompt, 'x-prompt-tokens': '100'},
      method: 'POST',
      body: prompt,
    });
  }

  // Guards against one crashed server after the other when requests that come at
  // different routers have only one part of their prompts in common (BUDGET).
  it('should be refused by all routers after a few crashes, others served', async () => {
    const routers = [await fixture.addRouter(), await fixture.addRouter()];
    for (const router of routers) await fixture.waitReady(router);
    for (let i = 0; i < 4; i++) {
      await call(routers[i % 2], `manual,deadly,own-${i}`);
      await waitFor(intervalMs);
    }
    await waitFor(learnMs);
    const crashesBefore = crashes;
    for (const [index, router] of routers.entries()) {
      const refused = await call(router, `manual,deadly,later-${index}`);
      expect(refused.status).to.equal(503);
      expect(refused.body).to.contain('"outcome":"notRun"');
      expect(refused.body).to.match(/"retryAfterMs":[1-9]/);
      const sound = await call(router, `manual,unit-${index},own`);
      expect(sound.status, sound.body).to.equal(200);
      expect(sound.isComplete).to.equal(true);
    }
    expect(crashes).to.equal(crashesBefore);
  });
});
