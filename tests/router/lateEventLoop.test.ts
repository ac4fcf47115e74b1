import net from 'node:net';
import {expect} from 'chai';
import {pauseEventLoop} from '../support/eventLoop.js';
import {
  formatBackendAnswer,
  host,
  RouterFixture,
  sampleDeployment,
} from './routerFixture.js';

/** A caller in this process that sends raw bytes on one connection. */
class RawCaller {
  text = '';

  private constructor(readonly socket: net.Socket) {
    socket.setEncoding('latin1');
    socket.on('error', () => undefined);
    socket.on('data', data => (this.text += String(data)));
  }

  static async open(endpoint: string): Promise<RawCaller> {
    const [address, port] = endpoint.split(':');
    const socket = net.connect({
      port: Number(port),
      host: address,
      allowHalfOpen: true,
    });
    const caller = new RawCaller(socket);
    await new Promise(resolve => socket.once('connect', resolve));
    return caller;
  }

  send(attempt: string): void {
    this.socket.write(formatHead(attempt));
  }
}

function formatHead(attempt: string): string {
  return (
    `POST /orders/1 HTTP/1.1\r\nhost: ${host}\r\nx-key: k1\r\n` +
    `x-attempt: ${attempt}\r\ncontent-length: 0\r\n\r\n`
  );
}

const pause = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

describe('requests at a late event loop', () => {
  let fixture: RouterFixture;

  beforeEach(() => {
    fixture = new RouterFixture();
  });

  afterEach(() => fixture.stop());

  function startBackend() {
    return fixture.addBackend((socket, request) =>
      socket.write(formatBackendAnswer(request, 'ok')),
    );
  }

  async function startRouter(limits = {}) {
    fixture.platform.deployment = {
      ...sampleDeployment,
      limits: {...sampleDeployment.limits, ...limits},
    };
    const router = await fixture.addRouter();
    await fixture.waitReady(router);
    return router;
  }

  // Guards against answering 400 to a request that waited in the socket for
  // longer than the header timeout, and then running it without an answer.
  it('should answer a request that it reads after the header timeout', async () => {
    const backend = await startBackend();
    const router = await startRouter({headerTimeoutMs: 300});
    const caller = await RawCaller.open(router.callers);
    await pause(20);
    caller.send('a1');
    pauseEventLoop(2_500);
    await pause(300);
    expect(caller.text).to.match(/^HTTP\/1\.1 200 OK\r\nx-attempt: a1/);
    expect(backend.requests).to.have.length(1);
  });

  // Guards against losing a request on a kept connection in the same way.
  it('should answer the second request of a connection that it reads late', async () => {
    await startBackend();
    const router = await startRouter({headerTimeoutMs: 300});
    const caller = await RawCaller.open(router.callers);
    caller.send('a1');
    await pause(100);
    caller.socket.write('POST /orders/1 HTTP/1.1\r\n');
    await pause(20);
    caller.socket.write(formatHead('a2').replace(/^.*\r\n/, ''));
    pauseEventLoop(2_500);
    await pause(300);
    expect(caller.text).to.contain('x-attempt: a2');
    expect(caller.text).not.to.contain('HTTP/1.1 4');
  });

  // Guards against running a request whose connection has been ended, so that
  // its caller gets no answer.
  it('should not run a request that arrives after the header timeout', async () => {
    const backend = await startBackend();
    const router = await startRouter({headerTimeoutMs: 300});
    const caller = await RawCaller.open(router.callers);
    await new Promise(resolve => caller.socket.once('end', resolve));
    caller.send('a1');
    await pause(300);
    expect(caller.text).to.match(/^HTTP\/1\.1 408 /);
    expect(backend.requests).to.be.empty;
  });

  // Guards against running a request on a connection that the idle timeout
  // closes.
  it('should not run a request that it has not read by the idle timeout', async () => {
    const backend = await startBackend();
    const router = await startRouter({idleTimeoutMs: 1_000});
    const caller = await RawCaller.open(router.callers);
    caller.send('a1');
    await pause(200);
    caller.send('a2');
    pauseEventLoop(2_500);
    await pause(300);
    const isAnswered = caller.text.includes('x-attempt: a2');
    expect(backend.requests).to.have.length(isAnswered ? 2 : 1);
  });
});
