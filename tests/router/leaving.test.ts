import http from 'node:http';
import {expect} from 'chai';
import {
  formatBackendAnswer,
  formatChunk,
  lastChunk,
  RouterFixture,
  formatStreamHead,
} from './routerFixture.js';

describe('graceful shutdown of a router', () => {
  let fixture: RouterFixture;

  beforeEach(() => {
    fixture = new RouterFixture();
  });

  afterEach(() => fixture.stop());

  async function startFleet(count: number) {
    for (let i = 0; i < count; i++) await fixture.addRouter();
    for (const router of fixture.routers) await fixture.waitReady(router);
    return fixture.routers;
  }

  it('should finish a stream that is open when the shutdown begins', async () => {
    await fixture.addBackend((socket, request) => {
      socket.write(formatStreamHead(request));
      let id = 0;
      const timer = setInterval(() => {
        id += 1;
        socket.write(formatChunk(`id: ${id}\ndata: ${id}\n\n`));
        if (id < 10) return;
        clearInterval(timer);
        socket.write(lastChunk);
      }, 150);
    });
    const [router] = await startFleet(1);
    const call = fixture.call(router, '/ask/1');
    await new Promise(resolve => setTimeout(resolve, 300));
    const stopped = router.daemon.stop();
    const answer = await call;
    expect(answer.isComplete).to.equal(true);
    expect(answer.body).to.contain('data: 10');
    await stopped;
  });

  // Guards against keeping the connections of requests that were accepted before
  // the shutdown: their callers send the next request there and are refused.
  it('should ask callers with a request in flight to close', async () => {
    await fixture.addBackend((socket, request) => {
      setTimeout(() => socket.write(formatBackendAnswer(request, 'ok')), 500);
    });
    const router = await fixture.addRouter();
    await fixture.waitReady(router);
    const agent = new http.Agent({keepAlive: true});
    const call = fixture.call(router, '/status/1', {agent});
    await new Promise(resolve => setTimeout(resolve, 200));
    const stopped = router.daemon.stop();
    const {status, headers} = await call;
    await stopped;
    agent.destroy();
    expect(status).to.equal(200);
    expect(headers.connection).to.equal('close');
  });

  it('should not be ready, yet serve callers that still have its address', async () => {
    await fixture.addBackend((socket, request) =>
      socket.write(formatBackendAnswer(request, 'ok')),
    );
    const [router] = await startFleet(1);
    const agent = new http.Agent({keepAlive: true});
    await fixture.call(router, '/orders/1', {agent});
    const stopped = router.daemon.stop();
    const ready = await fixture.get(router.ready, '/ready');
    expect(ready.status).to.equal(503);
    const kept = await fixture.call(router, '/orders/2', {agent});
    expect(kept.status).to.equal(200);
    expect(kept.headers.connection).to.equal('close');
    const fresh = await fixture.call(router, '/orders/3');
    expect(fresh.status).to.equal(200);
    agent.destroy();
    await stopped;
  });

  it('should disappear from the address answers of other routers at once', async () => {
    const [first, second] = await startFleet(2);
    const listAddresses = async () => {
      const answer = await fixture.get(second.addresses, '/addresses?zone=a');
      return JSON.parse(answer.body) as string[];
    };
    await fixture.waitUntil(
      async () => (await listAddresses()).length === 2,
      'both addresses',
    );
    const stopped = first.daemon.stop();
    const startedAtMs = performance.now();
    await fixture.waitUntil(
      async () => (await listAddresses()).length === 1,
      'one address',
    );
    expect(performance.now() - startedAtMs).to.be.lessThan(500);
    await stopped;
  });
});
