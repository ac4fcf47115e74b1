import type {Socket} from 'node:net';
import {expect} from 'chai';
import {ServerSelector} from '../../src/router/serverSelector.js';
import {formatBackendAnswer, RouterFixture} from './routerFixture.js';

/** Above the silence limit, well below the deadline of the route. */
const answerAfterMs = 1_200;
/** Longer than a server may be silent before the request is sent again. */
const silenceMs = 800;

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

  /** Publishes servers that never answer; returns the requests to them. */
  async function addSilentServers(count: number) {
    const runs: Array<{socket: Socket; answer: () => void}> = [];
    for (let i = 0; i < count; i++) {
      await fixture.addBackend((socket, request) => {
        const answer = () => socket.write(formatBackendAnswer(request, 'ok'));
        runs.push({socket, answer});
      });
    }
    return runs;
  }

  // Guards against a lookup that runs at more servers than its route allows, or
  // goes on at two of them.
  it('should run at two of three, the first of which is given up', async () => {
    const runs = await addSilentServers(3);
    const answer = callLookup();
    await fixture.waitUntil(() => runs.length === 2, 'the second run');
    const [first, second] = runs;
    expect(first.socket.destroyed).to.equal(false);
    await fixture.waitUntil(() => first.socket.destroyed, 'end of the first');
    await new Promise(resolve => setTimeout(resolve, silenceMs));
    second.answer();
    expect(await answer).to.include({status: 200, body: 'ok'});
    expect(runs).to.have.length(2);
  });

  // Guards against running an order twice.
  it('should not share their rule with orders', async () => {
    const runs = await addSilentServers(2);
    const router = await fixture.addRouter();
    await fixture.waitReady(router);
    const answer = fixture.call(router, '/orders/1');
    await fixture.waitUntil(() => runs.length > 0, 'the first run');
    await new Promise(resolve => setTimeout(resolve, answerAfterMs));
    runs[0].answer();
    expect(await answer).to.include({status: 200, body: 'ok'});
    expect(runs).to.have.length(1);
  });

  // Guards against an error in the search for another server that stops the
  // router, or leaves its request without an answer.
  it('should be answered when the search for another server fails', async () => {
    const {select} = ServerSelector.prototype;
    const runs = await addSilentServers(2);
    const router = await fixture.addRouter();
    await fixture.waitReady(router);
    const answer = fixture.call(router, '/status/1');
    await fixture.waitUntil(() => runs.length === 1, 'the first run');
    ServerSelector.prototype.select = () => {
      throw new TypeError('no such server');
    };
    try {
      expect((await answer).status).to.be.oneOf([502, 504]);
    } finally {
      ServerSelector.prototype.select = select;
    }
    await fixture.waitUntil(() => runs[0].socket.destroyed, 'end of the run');
    const next = fixture.call(router, '/status/2');
    await fixture.waitUntil(() => runs.length === 2, 'the next request');
    runs[1].answer();
    expect(await next).to.include({status: 200});
  });
});
