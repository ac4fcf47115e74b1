import type net from 'node:net';
import {expect} from 'chai';
import {waitFor} from '../../src/node/delay.js';
import {
  formatBackendAnswer,
  RouterFixture,
  type RunningRouter,
} from './routerFixture.js';

/** The users' bound: routers act on a third crash within this time. */
const contactMs = 3_000;
/** The users' bound: later requests that may still reach a server. */
const maxLateArrivals = 3;
const routerCount = 6;
const serverCount = 4;
/** Time between two requests that crash servers, in milliseconds. */
const intervalMs = 250;
/** Time that a server works on a request before it crashes. */
const crashDelayMs = 30;

describe('requests that crash servers', function () {
  this.timeout(60_000);
  let fixture: RouterFixture;
  let isHarmful: boolean;
  let arrivalsAtMs: number[];

  beforeEach(async () => {
    fixture = new RouterFixture();
    isHarmful = true;
    arrivalsAtMs = [];
    const script = (socket: net.Socket, request: string) => {
      if (!request.includes('x-case: suspect')) {
        socket.write(formatBackendAnswer(request, 'sound'));
        return;
      }
      arrivalsAtMs.push(performance.now());
      if (isHarmful) setTimeout(() => socket.destroy(), crashDelayMs);
      else socket.write(formatBackendAnswer(request, 'done'));
    };
    for (let i = 0; i < serverCount; i++) await fixture.addBackend(script);
    for (let i = 0; i < routerCount; i++) {
      await fixture.waitReady(await fixture.addRouter());
    }
  });

  afterEach(() => fixture.stop());

  function callSuspect(router: RunningRouter) {
    return fixture.call(router, '/status/7', {
      headers: {'x-case': 'suspect'},
      method: 'POST',
      body: 'suspect',
    });
  }

  /** Opens connections to the servers, which then rest until they are reused. */
  async function openConnections(router: RunningRouter): Promise<void> {
    await Promise.all(
      [...Array(2 * serverCount).keys()].map(index =>
        fixture.call(router, `/status/sound-${index}`),
      ),
    );
  }

  /** Sends the same request to all routers in turn. */
  async function sendFor(durationMs: number, step = 1): Promise<void> {
    const endsAtMs = performance.now() + durationMs;
    for (let i = 0; performance.now() < endsAtMs; i += step) {
      void callSuspect(fixture.routers[i % fixture.routers.length]).catch(
        () => undefined,
      );
      await waitFor(intervalMs);
    }
  }

  // Guards against one crashed server after the other (BUDGET) because crashes on
  // connections that had rested aren't counted, because each router ends its
  // block and retries by itself, and because a router that has just started
  // knows nothing of the crashes.
  it('should reach servers a few times in all, whatever routers start', async () => {
    await Promise.all(fixture.routers.map(openConnections));
    await waitFor(200);
    await sendFor(7_000);
    await fixture.waitReady(await fixture.addRouter());
    await waitFor(1_500);
    await sendFor(13_000, 5);
    const thirdAtMs = arrivalsAtMs[2] + crashDelayMs;
    const late = arrivalsAtMs.filter(atMs => atMs > thirdAtMs + contactMs);
    expect(late.length).to.be.at.most(maxLateArrivals);
    const answer = await callSuspect(fixture.routers[0]);
    expect(answer.status).to.equal(503);
    expect(answer.body).to.contain('"outcome":"notRun"');
  });

  // Guards against refusing a sound request for long because its connections
  // broke by coincidence.
  it('should be served again soon once they are answered', async () => {
    await sendFor(2_000);
    isHarmful = false;
    const soundAtMs = performance.now();
    let status = 0;
    for (let i = 0; status !== 200; i++) {
      await waitFor(intervalMs);
      const router = fixture.routers[i % routerCount];
      status = (await callSuspect(router)).status;
      expect(performance.now() - soundAtMs).to.be.below(10_000);
    }
    await waitFor(500);
    for (const router of fixture.routers) {
      expect((await callSuspect(router)).status).to.equal(200);
    }
  });
});
