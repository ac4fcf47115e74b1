import {expect} from 'chai';
import {RawCaller} from '../support/rawCaller.js';
import {
  buildRoute,
  formatBackendAnswer,
  formatChunk,
  formatStreamHead,
  host,
  RouterFixture,
  sampleDeployment,
} from './routerFixture.js';
import {RouteKind} from '../../src/router/deployment.js';

const timeoutMs = 15_000;

describe('end of the grace period of a router', () => {
  let fixture: RouterFixture;

  beforeEach(() => {
    fixture = new RouterFixture();
    fixture.platform.deployment = {
      ...sampleDeployment,
      routes: [
        buildRoute({timeoutMs, targetMs: 12_000}),
        buildRoute({
          name: 'status',
          pathPrefix: '/status/',
          kind: RouteKind.Idempotent,
          timeoutMs,
          targetMs: 12_000,
          maxServers: 2,
        }),
        buildRoute({
          name: 'ask',
          pathPrefix: '/ask/',
          kind: RouteKind.Stream,
          timeoutMs,
        }),
      ],
    };
  });

  afterEach(() => fixture.stop());

  /** Sends a request, stops the router and returns what the caller received. */
  async function sendAndStop(path: string): Promise<RawCaller> {
    const [router] = fixture.routers;
    const caller = await RawCaller.open(router.callers);
    caller.send(
      `GET ${path} HTTP/1.1\r\nhost: ${host}\r\n` +
        'x-key: k1\r\nx-attempt: r1\r\n\r\n',
    );
    await new Promise(resolve => setTimeout(resolve, 100));
    await router.daemon.stop();
    await caller.ended;
    return caller;
  }

  // Guards against closing the channel of a request that no server has run: its
  // caller is owed the promise that it never will.
  it('should refuse requests that wait to be sent', async () => {
    const backend = await fixture.addBackend((socket, request) => {
      const attempt = /^x-attempt: (.*)$/im.exec(request)?.[1] ?? '';
      socket.write(
        `HTTP/1.1 503 Busy\r\nx-attempt: ${attempt}\r\nx-stamp: s\r\n` +
          'x-not-run: 1\r\nx-limit: 0.1\r\ncontent-length: 0\r\n\r\n',
      );
    });
    const router = await fixture.addRouter();
    await fixture.waitReady(router);
    const caller = await sendAndStop('/orders/1');
    const seen = `${backend.requests.length} sent, ${caller.errorCode}`;
    expect(caller.statuses, seen).to.deep.equal([503]);
  });

  // Guards against spending the last part of the grace period on streams, whose
  // end costs the process as much time as many answers, so that it is killed
  // before it has answered the other requests.
  it('should answer requests before it ends streams', async () => {
    await fixture.addBackend((socket, request) => {
      if (request.startsWith('GET /ask/')) {
        socket.write(formatStreamHead(request) + formatChunk('id: 1\n\n'));
      }
    });
    const router = await fixture.addRouter();
    await fixture.waitReady(router);
    const callers: RawCaller[] = [];
    for (const path of ['/ask/1', '/ask/2', '/ask/3', '/orders/1']) {
      const caller = await RawCaller.open(router.callers);
      callers.push(caller);
      caller.send(
        `GET ${path} HTTP/1.1\r\nhost: ${host}\r\n` +
          `x-key: k1\r\nx-attempt: r${callers.length}\r\n\r\n`,
      );
      if (path !== '/orders/1') await caller.waitAnswers(1);
    }
    const ends: number[] = [];
    const ended = callers.map((caller, index) =>
      caller.ended.then(() => ends.push(index)),
    );
    await new Promise(resolve => setTimeout(resolve, 100));
    await router.daemon.stopNow();
    await Promise.all(ended);
    expect(callers[3].statuses).to.deep.equal([504]);
    expect(ends[0]).to.equal(3);
  });

  // Guards against closing the channel of requests that wait in the router, and
  // against sending them later although their callers were told otherwise.
  it('should refuse requests that wait for a limited server', async () => {
    const backend = await fixture.addBackend((socket, request) =>
      socket.write(formatBackendAnswer(request, 'ok', 'x-limit: 0.25\r\n')),
    );
    const router = await fixture.addRouter();
    await fixture.waitReady(router);
    const callers: RawCaller[] = [];
    for (let i = 0; i < 4; i++) {
      const caller = await RawCaller.open(router.callers);
      callers.push(caller);
      caller.send(
        `GET /orders/${i} HTTP/1.1\r\nhost: ${host}\r\n` +
          `x-key: k1\r\nx-attempt: r${i}\r\n\r\n`,
      );
      await new Promise(resolve => setTimeout(resolve, 100));
    }
    const sent = backend.requests.length;
    expect(sent).to.be.lessThan(callers.length);
    await router.daemon.stopNow();
    await new Promise(resolve => setTimeout(resolve, 300));
    const statuses = callers.map(caller => caller.statuses);
    const refused = callers.filter(({text}) => text.includes('shuttingDown'));
    expect(refused, String(statuses)).to.have.length(callers.length - sent);
    for (const caller of refused) {
      expect(caller.statuses).to.deep.equal([503]);
      expect(caller.text).to.match(/connection: close/i);
    }
    expect(backend.requests).to.have.length(sent);
  });

  // Guards against cutting off a refusal whose request is still arriving.
  it('should not break off a refusal that has been written', async () => {
    const router = await fixture.addRouter();
    await fixture.waitReady(router);
    const caller = await RawCaller.open(router.callers);
    const stopped = router.daemon.stop();
    caller.send(
      `POST /orders/1 HTTP/1.1\r\nhost: ${host}\r\nx-key: unknown\r\n` +
        'x-attempt: r1\r\ncontent-length: 100\r\n\r\n',
    );
    await caller.waitAnswers(1);
    const stoppedNow = router.daemon.stopNow();
    caller.send('x'.repeat(100));
    await Promise.all([stopped, stoppedNow, caller.ended]);
    expect(caller.statuses).to.deep.equal([401]);
    expect(caller.errorCode).to.equal(undefined);
  });

  // Guards against closing the channel of a request whose server is silent
  // instead of stating that the request may have run.
  for (const path of ['/orders/1', '/status/1']) {
    it(`should answer a request that a server keeps: ${path}`, async () => {
      await fixture.addBackend(() => undefined);
      const router = await fixture.addRouter();
      await fixture.waitReady(router);
      const caller = await sendAndStop(path);
      expect(caller.statuses).to.have.length(1);
      expect(caller.statuses[0]).to.be.oneOf([502, 504]);
    });
  }
});
