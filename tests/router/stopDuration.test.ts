import {expect} from 'chai';
import {ResultAsync} from 'neverthrow';
import {waitFor} from '../../src/node/delay.js';
import {pauseEventLoop} from '../support/eventLoop.js';
import {RouterFixture} from './routerFixture.js';

const graceSeconds = 4;

describe('duration of the shutdown of a router', () => {
  let fixture: RouterFixture;

  beforeEach(async () => {
    fixture = new RouterFixture();
    await fixture.addBackend(() => undefined);
  });

  afterEach(() => fixture.stop());

  /** Stops a router that holds a request; returns how long that took. */
  async function measureStopMs(): Promise<number> {
    const router = await fixture.addRouter({graceSeconds});
    await fixture.waitReady(router);
    const call = fixture.call(router, '/orders/1', {
      headers: {'x-deadline': '60000'},
    });
    void call.catch(() => undefined);
    const startedAtMs = performance.now();
    await router.daemon.stop();
    return Math.round(performance.now() - startedAtMs);
  }

  // Guards against being killed at the end of the grace period because a child
  // task ignores its signal.
  it('should end within the grace period if a child does not stop', async () => {
    const {platform} = fixture;
    const reader = platform.openReader('vm-1');
    platform.openReader = () => ({
      ...reader,
      watchDeployment: () =>
        ResultAsync.fromSafePromise(new Promise<never>(() => undefined)),
    });
    expect(await measureStopMs()).to.be.below(graceSeconds * 1_000);
  });

  // Guards against being killed because each stall postpones a timer of the
  // shutdown.
  it('should end within the grace period on a busy processor', async () => {
    const measured = measureStopMs();
    for (let i = 0; i < 12; i++) {
      await waitFor(50);
      pauseEventLoop(250);
    }
    expect(await measured).to.be.below(graceSeconds * 1_000);
  });
});
