import net from 'node:net';
import {expect} from 'chai';
import {pauseEventLoop} from '../support/eventLoop.js';
import {readRunQueueWaitMs} from '../support/runQueueWait.js';
import {
  buildRoute,
  formatBackendAnswer,
  host,
  RouterFixture,
  sampleDeployment,
  type RunningRouter,
} from './routerFixture.js';
import type {RawServer} from '../gateway/rawServer.js';

/** Callers that connect together; one an iteration is accepted. */
const burst = 60;
/** Work of each iteration of the event loop, in milliseconds. */
const workMs = 10;
/** Deadline of each request, in milliseconds. */
const deadlineMs = 5_000;
/**
 * Error of the measured wait, in milliseconds: the time until the first marker,
 * the interval of markers, and the iterations in which they are noticed.
 */
const maxErrorMs = 300;

/** Callers for which that takes longer than a single stall. */
const overloadBurst = 200;

/** Answers of the router, in order of the callers. */
async function callTogether(
  endpoint: string,
  path: string,
  count = burst,
): Promise<{readonly texts: string[]; readonly sentAtMs: number}> {
  const [address, port] = endpoint.split(':');
  const texts = new Array<string>(count).fill('');
  const sentAtMs = performance.now();
  const sockets = texts.map((_, index) => {
    const socket = net.connect({port: Number(port), host: address});
    socket.on('error', () => undefined).setEncoding('latin1');
    socket.on('data', data => (texts[index] += String(data)));
    socket.write(
      `POST ${path} HTTP/1.1\r\nhost: ${host}\r\nx-key: k1\r\n` +
        `x-attempt: a${index}\r\nx-deadline: ${deadlineMs}\r\n` +
        'content-length: 0\r\n\r\n',
    );
    return socket;
  });
  while (texts.some(text => text === '')) {
    await new Promise(resolve => setImmediate(resolve));
    pauseEventLoop(workMs);
  }
  for (const socket of sockets) socket.destroy();
  return {texts, sentAtMs};
}

describe('requests that wait to be accepted', () => {
  let fixture: RouterFixture;
  let backend: RawServer;
  let router: RunningRouter;
  let arrivedAtMs: number[];

  beforeEach(() => {
    fixture = new RouterFixture();
    arrivedAtMs = [];
  });

  afterEach(() => fixture.stop());

  async function start(targetMs: number): Promise<void> {
    fixture.platform.deployment = {
      ...sampleDeployment,
      routes: [buildRoute({timeoutMs: 10_000, targetMs})],
    };
    backend = await fixture.addBackend((socket, request) => {
      arrivedAtMs.push(performance.now());
      socket.write(formatBackendAnswer(request, 'ok'));
    });
    router = await fixture.addRouter();
    await fixture.waitReady(router);
  }

  // Guards against handing a backend server more time than is left (BUDGET): the
  // deadline was counted from the reading.
  it('should be sent with the time that is left', async () => {
    await start(5_000);
    const waitedBeforeMs = readRunQueueWaitMs();
    const {sentAtMs} = await callTogether(router.callers, '/orders/1');
    // On a busy machine, the iterations between markers are longer.
    const waitedMs = readRunQueueWaitMs() - waitedBeforeMs;
    expect(backend.requests).to.have.length(burst);
    const endsAfterMs = backend.requests.map((request, index) => {
      const leftMs = Number(/x-left: (\d+)/.exec(request)?.[1]);
      return arrivedAtMs[index] - sentAtMs + leftMs;
    });
    expect(Math.max(...endsAfterMs) - waitedMs).to.be.below(
      deadlineMs + maxErrorMs,
    );
  });

  // Guards against a router that takes in all that it reads, and answers late or
  // never, when callers have waited for most of their target already.
  it('should be refused after half of their target', async () => {
    await start(600);
    const path = '/orders/1';
    const {texts} = await callTogether(router.callers, path, overloadBurst);
    const refused = texts.filter(text => text.startsWith('HTTP/1.1 503'));
    expect(refused).not.to.be.empty;
    expect(refused.length + backend.requests.length).to.equal(overloadBurst);
    for (const text of refused) {
      expect(text).to.contain('"reason":"queueFull"');
      expect(text).to.contain('"outcome":"notRun"');
      expect(text).to.match(/"retryAfterMs":[1-9]/);
    }
  });

  // Guards against refusing what a single stall of the event loop has delayed,
  // although the router has time for it now.
  it('should not be refused after a single stall', async () => {
    await start(600);
    const call = callTogether(router.callers, '/orders/1', 20);
    pauseEventLoop(400);
    const {texts} = await call;
    expect(texts.filter(text => text.startsWith('HTTP/1.1 503'))).to.be.empty;
    expect(backend.requests).to.have.length(20);
  });
});
