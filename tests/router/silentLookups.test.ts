import type {Socket} from 'node:net';
import {expect} from 'chai';
import {formatBackendAnswer, RouterFixture} from './routerFixture.js';

/** Above the silence limit, well below the deadline of the route. */
const answerAfterMs = 1_200;

describe('lookups at slow servers', () => {
  let fixture: RouterFixture;

  beforeEach(() => {
    fixture = new RouterFixture();
  });

  afterEach(() => fixture.stop());

  /** Publishes a server that answers late and then rejects all requests. */
  async function addSlowServer(onRequest: () => number): Promise<void> {
    await fixture.addBackend((socket: Socket, request) => {
      if (onRequest() > 1) {
        const head = 'x-not-run: 1\r\n';
        const answer = formatBackendAnswer(request, '', head);
        socket.write(answer.replace('200 OK', '503 Full'));
        return;
      }
      const timer = setTimeout(
        () => socket.write(formatBackendAnswer(request, 'ok')),
        answerAfterMs,
      );
      socket.on('close', () => clearTimeout(timer));
    });
  }

  async function callLookup() {
    const router = await fixture.addRouter();
    await fixture.waitReady(router);
    return fixture.call(router, '/status/1');
  }

  // Guards against taking a lookup from a server that works on it before another
  // one has room for it, which ends it with 502.
  it('should be answered when no other server has room', async () => {
    let requests = 0;
    for (let i = 0; i < 2; i++) await addSlowServer(() => (requests += 1));
    expect(await callLookup()).to.include({status: 200, body: 'ok'});
  });

  // Guards against the same when the other server accepts no connection.
  it('should be answered when no other server can be reached', async () => {
    let requests = 0;
    const closed = await fixture.addBackend(() => undefined);
    await addSlowServer(() => (requests += 1));
    await closed.stop();
    expect(await callLookup()).to.include({status: 200, body: 'ok'});
  });
});
