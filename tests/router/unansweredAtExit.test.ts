import {expect} from 'chai';
import {RawCaller} from '../support/rawCaller.js';
import {
  buildRoute,
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
