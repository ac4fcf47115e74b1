import type net from 'node:net';
import {expect} from 'chai';
import {ServerState} from '../../src/router/deployment.js';
import {
  formatBackendAnswer,
  formatChunk,
  lastChunk,
  readHeader,
  RouterFixture,
  formatStreamHead,
} from './routerFixture.js';

/** Retry budget that no test uses up. */
const largeRetrySlack = 1_000;

describe('forwarding of requests', () => {
  let fixture: RouterFixture;

  beforeEach(() => {
    fixture = new RouterFixture();
  });

  afterEach(() => fixture.stop());

  async function startRouter(retrySlack?: number) {
    const router = await fixture.addRouter({retrySlack});
    await fixture.waitReady(router);
    return router;
  }

  it('should pass on a request and its answer unchanged', async () => {
    const backend = await fixture.addBackend((socket, request) =>
      socket.write(formatBackendAnswer(request, 'done', 'x-extra: 1\r\n')),
    );
    const router = await startRouter();
    const answer = await fixture.call(router, '/orders/7?x=%20y', {
      method: 'POST',
      body: 'two racks',
      headers: {'x-deadline': '2500'},
    });
    expect(answer.status).to.equal(200);
    expect(answer.body).to.equal('done');
    expect(answer.headers['x-extra']).to.equal('1');
    const [request] = backend.requests;
    expect(request).to.match(/^POST \/orders\/7\?x=%20y HTTP\/1.1\r\n/);
    expect(request).to.match(/\r\n\r\ntwo racks$/);
    expect(readHeader(request, 'x-server')).to.equal('server-1');
    expect(readHeader(request, 'x-customer')).to.equal('museum');
    expect(readHeader(request, 'x-key')).to.equal('');
    expect(Number(readHeader(request, 'x-left'))).to.be.within(2_000, 2_500);
  });

  it('should refuse unknown keys and routes without asking a server', async () => {
    const backend = await fixture.addBackend(() => undefined);
    const router = await startRouter();
    const headers = {'x-key': 'k2'};
    const noKey = await fixture.call(router, '/orders/1', {headers});
    expect(noKey.status).to.equal(401);
    const noRoute = await fixture.call(router, '/nothing/');
    expect(noRoute.status).to.equal(404);
    expect(backend.requests).to.be.empty;
  });

  it('should run an order once and say that the outcome is unknown when its connection breaks', async () => {
    const first = await fixture.addBackend(socket => socket.destroy());
    const second = await fixture.addBackend(socket => socket.destroy());
    const router = await startRouter();
    const answer = await fixture.call(router, '/orders/1', {method: 'POST'});
    expect(answer.status).to.equal(502);
    expect(answer.body).to.contain('mayHaveRun');
    expect(first.requests.length + second.requests.length).to.equal(1);
  });

  it('should send an order elsewhere when a server proves that it has not run', async () => {
    const refuse = (request: string) =>
      formatBackendAnswer(request, '', 'x-not-run: 1\r\n').replace(
        '200 OK',
        '503 Full',
      );
    const scripts = [0, 1].map(() => ({isFull: false}));
    for (const state of scripts) {
      await fixture.addBackend((socket, request) =>
        socket.write(
          state.isFull ? refuse(request) : formatBackendAnswer(request, 'ok'),
        ),
      );
    }
    const router = await startRouter(largeRetrySlack);
    for (const state of scripts) {
      for (const other of scripts) other.isFull = other === state;
      for (let i = 0; i < 4; i++) {
        const answer = await fixture.call(router, '/orders/1');
        expect(answer.status).to.equal(200);
      }
    }
  });

  // Guards against spending the retry budget on one server without free slots.
  it('should skip a server for a moment after it had no free slot', async () => {
    const full = await fixture.addBackend((socket, request) =>
      socket.write(
        formatBackendAnswer(request, '', 'x-not-run: 1\r\n').replace(
          '200 OK',
          '503 Full',
        ),
      ),
    );
    await fixture.addBackend((socket, request) =>
      socket.write(formatBackendAnswer(request, 'ok')),
    );
    const router = await startRouter(largeRetrySlack);
    await fixture.waitUntil(async () => {
      await fixture.call(router, '/orders/1');
      return full.requests.length > 0;
    }, 'a request at the full server');
    const answers = await Promise.all(
      Array.from({length: 3}, () => fixture.call(router, '/orders/1')),
    );
    expect(answers.map(answer => answer.status)).to.deep.equal([200, 200, 200]);
    expect(full.requests).to.have.length(1);
  });

  // Guards against orders that are lost because the server has dropped the idle
  // connection that they are sent on.
  it('should answer orders although servers drop idle connections', async () => {
    const usedAtMs = new Map<net.Socket, number>();
    await fixture.addBackend((socket, request) => {
      const idleMs = performance.now() - (usedAtMs.get(socket) ?? Infinity);
      if (idleMs > 250) {
        socket.resetAndDestroy();
        return;
      }
      usedAtMs.set(socket, performance.now());
      socket.write(formatBackendAnswer(request, 'ok'));
    });
    const router = await startRouter();
    for (let i = 0; i < 4; i++) {
      const answer = await fixture.call(router, '/orders/1', {method: 'POST'});
      expect(answer.status).to.equal(200);
      await new Promise(resolve => setTimeout(resolve, 350));
    }
  });

  // One lost stream reveals that servers drop idle connections. Avoiding this
  // loss too would need a new connection for each stream of healthy servers.
  it('should lose only one stream to servers that drop idle connections', async () => {
    const used = new Set<net.Socket>();
    await fixture.addBackend((socket, request) => {
      if (used.has(socket)) {
        socket.resetAndDestroy();
        return;
      }
      used.add(socket);
      socket.write(formatStreamHead(request));
      socket.write(formatChunk('id: 1\ndata: a\n\n') + lastChunk);
    });
    const [first, second] = [await startRouter(), await startRouter()];
    const statuses: number[] = [];
    for (const router of [first, second, first, second, first, second]) {
      const answer = await fixture.call(router, '/ask/1');
      statuses.push(answer.status);
      await new Promise(resolve => setTimeout(resolve, 200));
    }
    expect(statuses).to.deep.equal([200, 200, 502, 200, 200, 200]);
  });

  it('should tell a caller when to come back when no server has run its order', async () => {
    await fixture.addBackend((socket, request) =>
      socket.write(
        formatBackendAnswer(request, '', 'x-not-run: 1\r\n').replace(
          '200 OK',
          '503 Full',
        ),
      ),
    );
    const router = await startRouter();
    const answer = await fixture.call(router, '/orders/1');
    expect(answer.status).to.equal(503);
    expect(answer.body).to.contain('notRun');
    expect(Number(answer.headers['retry-after'])).to.be.greaterThan(0);
  });

  it('should retry an idempotent request after a failed answer', async () => {
    let count = 0;
    const answer = (request: string) => {
      count += 1;
      return count === 1
        ? formatBackendAnswer(request, 'no').replace('200 OK', '500 Error')
        : formatBackendAnswer(request, 'yes');
    };
    for (let i = 0; i < 2; i++) {
      await fixture.addBackend((socket, request) =>
        socket.write(answer(request)),
      );
    }
    const router = await startRouter();
    const result = await fixture.call(router, '/status/1');
    expect(result.body).to.equal('yes');
    expect(count).to.equal(2);
  });

  it('should not pass on the answer of another request', async () => {
    await fixture.addBackend((socket, request) =>
      socket.write(
        formatBackendAnswer(request, 'wrong').replace(
          /x-attempt: .*/,
          'x-attempt: zz',
        ),
      ),
    );
    const router = await startRouter();
    const answer = await fixture.call(router, '/orders/1');
    expect(answer.status).to.equal(502);
  });

  it('should not take a second answer for that of the next request', async () => {
    await fixture.addBackend((socket, request) => {
      socket.write(formatBackendAnswer(request, 'one'));
      setTimeout(() => {
        if (!socket.destroyed)
          socket.write(formatBackendAnswer(request, 'two'));
      }, 30);
    });
    const router = await startRouter();
    for (let i = 0; i < 5; i++) {
      const answer = await fixture.call(router, '/status/1');
      expect(answer.body).to.equal('one');
      await new Promise(resolve => setTimeout(resolve, 25));
    }
  });

  // Guards against mistaking bytes of an earlier answer for a reset: each
  // stream of the service would then open a new connection.
  it('should not take a late second answer for a dropped connection', async () => {
    const firstRequests = new Map<net.Socket, string>();
    await fixture.addBackend((socket, request) => {
      const first = firstRequests.get(socket) ?? request;
      firstRequests.set(socket, first);
      socket.write(formatStreamHead(first));
      socket.write(formatChunk('id: 1\ndata: a\n\n') + lastChunk);
    });
    const router = await startRouter();
    const statuses: number[] = [];
    for (let i = 0; i < 2; i++) {
      statuses.push((await fixture.call(router, '/ask/1')).status);
      await new Promise(resolve => setTimeout(resolve, 200));
    }
    expect(statuses).to.deep.equal([200, 502]);
    expect(router.daemon.describe()).to.deep.include({forgetfulServices: []});
  });

  for (const [what, cut] of [
    ['reset later', 'reset'],
    ['reset at once', 'resetAtOnce'],
    ['closed early', 'end'],
  ] as const) {
    it(`should not show an answer as whole when its connection is ${what}`, async () => {
      await fixture.addBackend((socket, request) => {
        const whole = formatBackendAnswer(request, 'a'.repeat(100));
        const text =
          cut !== 'end'
            ? whole.replace(/content-length: \d+\r\n/, 'connection: close\r\n')
            : whole;
        socket.write(text.slice(0, -50), () => {
          if (cut === 'resetAtOnce') socket.resetAndDestroy();
        });
        setTimeout(() => {
          if (cut === 'reset') socket.resetAndDestroy();
          else socket.end();
        }, 20);
      });
      const router = await startRouter();
      const answer = await fixture.call(router, '/orders/1');
      expect(answer.status).to.equal(502);
    });
  }

  it('should take an answer without a length that ends with its connection', async () => {
    await fixture.addBackend((socket, request) => {
      const text = formatBackendAnswer(request, 'unframed');
      socket.end(text.replace(/content-length: \d+\r\n/, ''));
    });
    const router = await startRouter();
    const answer = await fixture.call(router, '/orders/1');
    expect(answer.body).to.equal('unframed');
  });

  // Guards against showing a close-delimited stream that broke off within an
  // event as complete, or a complete one as broken.
  it('should tell the end of a stream without a length from a break', async () => {
    const events = ['id: 1\ndata: 1\n\n', 'id: 2\ndata: 2\n\n'];
    await fixture.addBackend((socket, request) => {
      const head = formatStreamHead(request).replace(
        'transfer-encoding: chunked\r\n',
        '',
      );
      const isBroken = request.includes('/ask/broken');
      socket.end(head + events[0] + (isBroken ? 'id: 2\nda' : events[1]));
    });
    const router = await startRouter();
    const whole = await fixture.call(router, '/ask/whole');
    expect(whole.body).to.equal(events.join(''));
    expect(whole.isComplete).to.equal(true);
    const broken = await fixture.call(router, '/ask/broken');
    expect(broken.body).to.equal(events[0]);
    expect(broken.isComplete).to.equal(false);
  });

  it('should resume a broken stream elsewhere without a gap or a repeat', async () => {
    const events = [1, 2, 3, 4].map(id => `id: ${id}\ndata: ${id}\n\n`);
    let count = 0;
    for (let i = 0; i < 2; i++) {
      await fixture.addBackend((socket, request) => {
        count += 1;
        socket.write(formatStreamHead(request));
        if (count === 1) {
          socket.write(formatChunk(events[0] + events[1] + 'id: 3\nda'));
          setTimeout(() => socket.resetAndDestroy(), 30);
          return;
        }
        expect(readHeader(request, 'x-after')).to.equal('2');
        socket.write(formatChunk(events[2] + events[3]) + lastChunk);
      });
    }
    const router = await startRouter();
    const answer = await fixture.call(router, '/draft/1');
    expect(answer.body).to.equal(events.join(''));
    expect(answer.isComplete).to.equal(true);
  });

  it('should close the connection of the caller when a broken stream may not run again', async () => {
    const backend = await fixture.addBackend((socket, request) => {
      socket.write(formatStreamHead(request));
      socket.write(formatChunk('id: 1\ndata: 1\n\n'));
      setTimeout(() => socket.resetAndDestroy(), 30);
    });
    const router = await startRouter();
    const answer = await fixture.call(router, '/ask/1');
    expect(answer.isComplete).to.equal(false);
    expect(backend.requests).to.have.length(1);
  });

  it('should close the connection to the server when the caller leaves', async () => {
    let isClosed = false;
    const backend = await fixture.addBackend((socket, request) => {
      socket.write(formatStreamHead(request));
      socket.write(formatChunk('id: 1\ndata: 1\n\n'));
      socket.on('close', () => (isClosed = true));
    });
    const router = await startRouter();
    const controller = new AbortController();
    const call = fixture.call(router, '/ask/1', {signal: controller.signal});
    call.catch(() => undefined);
    const hasArrived = () => backend.requests.length > 0;
    await fixture.waitUntil(hasArrived, 'request at the server');
    controller.abort();
    await fixture.waitUntil(() => isClosed, 'connection closed');
  });

  it('should answer at the timeout of the route', async () => {
    await fixture.addBackend(() => undefined);
    const router = await startRouter();
    const startedAtMs = performance.now();
    const headers = {'x-deadline': '300'};
    const answer = await fixture.call(router, '/orders/1', {headers});
    expect(answer.status).to.equal(504);
    expect(performance.now() - startedAtMs).to.be.within(250, 600);
  });

  it('should send nothing to a draining server', async () => {
    const leaving = await fixture.addBackend(
      (socket, request) =>
        socket.write(formatBackendAnswer(request, 'leaving')),
      {state: ServerState.Draining},
    );
    await fixture.addBackend((socket, request) =>
      socket.write(formatBackendAnswer(request, 'staying')),
    );
    const router = await startRouter();
    for (let i = 0; i < 6; i++) {
      const answer = await fixture.call(router, '/orders/1');
      expect(answer.body).to.equal('staying');
    }
    expect(leaving.requests).to.be.empty;
  });
});
