import {expect} from 'chai';
import {waitFor} from '../../src/node/delay.js';
import {pauseEventLoop} from '../support/eventLoop.js';
import {RawCaller} from '../support/rawCaller.js';
import {formatStreamHead, host, RouterFixture} from './routerFixture.js';

/** Requests that are sent later than this after the signal may not be cut. */
const excusedSendMs = 3_000;
const graceSeconds = 5;

function formatRequest(path: string, attempt: string): string {
  return (
    `GET ${path} HTTP/1.1\r\nhost: ${host}\r\n` +
    `x-key: k1\r\nx-attempt: ${attempt}\r\n\r\n`
  );
}

describe('shutdown of a router on a busy processor', () => {
  let fixture: RouterFixture;

  beforeEach(() => {
    fixture = new RouterFixture();
  });

  afterEach(() => fixture.stop());

  // Guards against passing on a request that came after the callers' time to
  // leave and cutting it at the end of the grace period: the timer that ends
  // acceptance starts again, in full, after each stall.
  it('should not forward what was sent too late to be finished', async () => {
    const backend = await fixture.addBackend((socket, request) =>
      socket.write(formatStreamHead(request)),
    );
    const router = await fixture.addRouter({graceSeconds});
    await fixture.waitReady(router);
    const caller = await RawCaller.open(router.callers);
    caller.send('GET /nothing HTTP/1.1\r\nhost: none\r\n\r\n');
    await caller.waitAnswers(1);
    const startedAtMs = performance.now();
    const stopped = router.daemon.stop();
    await waitFor(excusedSendMs - 400);
    pauseEventLoop(startedAtMs + excusedSendMs + 50 - performance.now());
    caller.send(formatRequest('/ask/1', 'late'));
    const sentAfterMs = performance.now() - startedAtMs;
    expect(sentAfterMs).to.be.above(excusedSendMs);
    await caller.ended;
    await stopped;
    const endedAfterMs = Math.round((caller.endedAtMs ?? 0) - startedAtMs);
    const end = `sent at ${Math.round(sentAfterMs)}, ended at ${endedAfterMs} ms`;
    expect(backend.requests, end).to.have.length(0);
    expect(caller.statuses[1], end).to.equal(503);
  });

  // Guards against forwarding a request that is complete only after the callers'
  // time to leave, because its head came before, and cutting it later.
  it('should not forward a request whose body came too late', async () => {
    const backend = await fixture.addBackend((socket, request) =>
      socket.write(formatStreamHead(request)),
    );
    const router = await fixture.addRouter({graceSeconds});
    await fixture.waitReady(router);
    const caller = await RawCaller.open(router.callers);
    const startedAtMs = performance.now();
    const stopped = router.daemon.stop();
    await waitFor(excusedSendMs - 500);
    const head = formatRequest('/ask/1', 'late').replace('GET', 'POST');
    caller.send(head.replace('\r\n\r\n', '\r\ncontent-length: 4\r\n\r\n'));
    await waitFor(startedAtMs + excusedSendMs + 50 - performance.now());
    caller.send('body');
    const sentAfterMs = Math.round(performance.now() - startedAtMs);
    await caller.ended;
    await stopped;
    const end = `sent at ${sentAfterMs} ms`;
    expect(backend.requests, end).to.have.length(0);
    expect(caller.statuses, end).to.deep.equal([503]);
  });

  // Guards against counting the callers' time to leave from the moment at which
  // a busy event loop handles the signal: a request that is sent too late after
  // the signal is then forwarded and cut.
  it('should count the time from the signal, not from its handling', async () => {
    const backend = await fixture.addBackend((socket, request) =>
      socket.write(formatStreamHead(request)),
    );
    const router = await fixture.addRouter({graceSeconds});
    await fixture.waitReady(router);
    const caller = await RawCaller.open(router.callers);
    caller.send('GET /nothing HTTP/1.1\r\nhost: none\r\n\r\n');
    await caller.waitAnswers(1);
    const signalledAtMs = performance.now();
    pauseEventLoop(500);
    const stopped = router.daemon.stop();
    await waitFor(signalledAtMs + excusedSendMs + 50 - performance.now());
    caller.send(formatRequest('/ask/1', 'late'));
    const sentAfterMs = Math.round(performance.now() - signalledAtMs);
    await caller.ended;
    await stopped;
    // The connection may have been closed before the request, which is then
    // never read.
    expect(backend.requests, `sent at ${sentAfterMs} ms`).to.have.length(0);
  });
});
