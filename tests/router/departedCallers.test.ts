import net from 'node:net';
import {expect} from 'chai';
import {pauseEventLoop} from '../support/eventLoop.js';
import {
  formatBackendAnswer,
  host,
  RouterFixture,
  type RunningRouter,
} from './routerFixture.js';
import type {RawServer} from '../gateway/rawServer.js';

/** Time for which the event loop reads nothing, in milliseconds. */
const stallMs = 600;
const callerCount = 20;
/** Connections to the backend server that are open beforehand. */
const warmCount = 10;

const pause = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

async function connect(endpoint: string): Promise<net.Socket> {
  const [address, port] = endpoint.split(':');
  const socket = net.connect({port: Number(port), host: address});
  socket.on('error', () => undefined).resume();
  await new Promise(resolve => socket.once('connect', resolve));
  return socket;
}

function formatRequest(attempt: string, body = ''): string {
  return (
    `POST /status/1 HTTP/1.1\r\nhost: ${host}\r\nx-key: k1\r\n` +
    `x-attempt: ${attempt}\r\ncontent-length: ${body.length}\r\n\r\n${body}`
  );
}

describe('requests of callers that have left', () => {
  let fixture: RouterFixture;
  let backend: RawServer;
  let router: RunningRouter;
  let warmRequests: number;

  beforeEach(async () => {
    fixture = new RouterFixture();
    backend = await fixture.addBackend((socket, request) =>
      socket.write(formatBackendAnswer(request, 'ok')),
    );
    router = await fixture.addRouter();
    await fixture.waitReady(router);
    // Leaves open connections to the backend server. While one is being opened,
    // the end of the caller's connection is noticed.
    await Promise.all(
      Array.from({length: warmCount}, (_, i) =>
        fixture.call(router, `/status/${i}`),
      ),
    );
    warmRequests = backend.requests.length;
  });

  afterEach(() => fixture.stop());

  const connectAll = () =>
    Promise.all(
      Array.from({length: callerCount}, () => connect(router.callers)),
    );

  // Guards against forwarding a request (GONE) that is read after a delay of the
  // event loop, although the end of its connection is the next to be read.
  it('should not be forwarded from kept connections', async () => {
    const callers = await connectAll();
    await pause(50);
    for (const [index, caller] of callers.entries()) {
      caller.write(formatRequest(`b${index}`));
      caller.end();
    }
    pauseEventLoop(stallMs);
    await pause(300);
    expect(backend.requests).to.have.length(warmRequests);
  });

  // Guards against the same on connections that waited to be accepted. The end
  // was only noticed once the router's own end had been sent, which takes two
  // more iterations of the event loop.
  it('should not be forwarded from new connections', async () => {
    for (const [index, caller] of (await connectAll()).entries()) {
      caller.end(formatRequest(`b${index}`));
    }
    pauseEventLoop(stallMs);
    await pause(300);
    expect(backend.requests).to.have.length(warmRequests);
  });

  // Guards against the same when the caller resets the connection. The response
  // closes only after the requests of the iteration have been forwarded.
  it('should not be forwarded from connections that are reset', async () => {
    const callers = await connectAll();
    await pause(50);
    for (const [index, caller] of callers.entries()) {
      caller.write(formatRequest(`b${index}`));
      caller.resetAndDestroy();
    }
    pauseEventLoop(stallMs);
    await pause(300);
    expect(backend.requests).to.have.length(warmRequests);
  });

  // Guards against the same with a body that takes several reads, of which the
  // last comes long after the accept.
  it('should not be forwarded when their bodies take several reads', async () => {
    const body = 'x'.repeat(60_000);
    const text = formatRequest('a1', body);
    const caller = await connect(router.callers);
    caller.write(text.slice(0, 20_000));
    pauseEventLoop(stallMs);
    await pause(30);
    caller.write(text.slice(20_000, 40_000));
    await pause(30);
    caller.end(text.slice(40_000));
    await pause(300);
    expect(backend.requests).to.have.length(warmRequests);
  });
});
