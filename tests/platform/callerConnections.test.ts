import net from 'node:net';
import {expect} from 'chai';
import {HeaderCodec} from '../../platform/headerCodec.js';
import {
  host,
  readHeader,
  RouterFixture,
  sampleDeployment,
  type RunningRouter,
} from '../router/routerFixture.js';

const pause = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

/** A caller that sends raw bytes on one connection. */
class RawCaller {
  text = '';

  constructor(readonly socket: net.Socket) {
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
    await new Promise(resolve => socket.once('connect', resolve));
    socket.setNoDelay(true);
    return new RawCaller(socket);
  }

  async send(...pieces: string[]): Promise<void> {
    for (const piece of pieces) {
      this.socket.write(piece);
      await pause(10);
    }
  }

  listStatuses(): string[] {
    return [...this.text.matchAll(/HTTP\/1\.1 (\d+)/g)].map(match => match[1]);
  }
}

function formatRequest(attempt: string, headers = '', body = ''): string {
  return (
    `POST /orders/1 HTTP/1.1\r\nhost: ${host}\r\nAuthorization: Token k1\r\n` +
    `Attempt-Id: ${attempt}\r\n${headers}\r\n${body}`
  );
}

function formatAnswer(request: string): string {
  return (
    `HTTP/1.1 200 OK\r\nAttempt-Id: ${readHeader(request, 'attempt-id')}\r\n` +
    'Runner-Stamp: s\r\nContent-Length: 2\r\n\r\nok'
  );
}

describe('connections of callers', () => {
  let fixture: RouterFixture;
  let router: RunningRouter;
  let caller: RawCaller;

  beforeEach(async () => {
    fixture = new RouterFixture();
    await fixture.addBackend((socket, request) =>
      setTimeout(() => socket.write(formatAnswer(request)), 200),
    );
    router = await fixture.addRouter({codec: new HeaderCodec()});
    await fixture.waitUntil(async () => {
      const {status} = await fixture.get(router.ready, '/-/readyz');
      return status === 200;
    }, 'router ready');
    caller = await RawCaller.open(router.callers);
  });

  afterEach(async () => {
    caller.socket.destroy();
    await fixture.stop();
  });

  for (const [what, pieces, statuses] of [
    [
      'a chunked body in pieces',
      [
        formatRequest('a1', 'transfer-encoding: chunked\r\n'),
        '2\r\n',
        'a',
        'b\r\n',
        '0\r\n',
        '\r\n',
      ],
      ['200'],
    ],
    [
      'a body with a length in pieces',
      [formatRequest('a1', 'content-length: 3\r\n'), 'a', 'b', 'c'],
      ['200'],
    ],
    [
      'a head in pieces',
      [...formatRequest('a1', 'content-length: 0\r\n').match(/[^]{1,40}/g)!],
      ['200'],
    ],
    [
      'Expect: 100-continue',
      [
        formatRequest('a1', 'content-length: 2\r\nexpect: 100-continue\r\n'),
        'ab',
      ],
      ['100', '200'],
    ],
    [
      'a request with Upgrade',
      [
        formatRequest(
          'a1',
          'content-length: 0\r\nconnection: upgrade\r\nupgrade: h2c\r\n',
        ),
      ],
      ['200'],
    ],
    [
      'a second request behind one in flight',
      [
        formatRequest('a1', 'content-length: 0\r\n'),
        formatRequest('a2', 'content-length: 0\r\n'),
      ],
      ['200', '200'],
    ],
    [
      'an empty line behind a request in flight',
      [formatRequest('a1', 'content-length: 0\r\n'), '\r\n'],
      ['200'],
    ],
  ] as Array<[string, string[], string[]]>) {
    // Guards against a connection that closes without an answer.
    it(`should be answered after ${what}`, async () => {
      await caller.send(...pieces);
      await pause(600);
      expect(caller.listStatuses()).to.deep.equal(statuses);
    });
  }

  // Guards against an answer with status 400 in place of that of a request in
  // flight.
  it('should get the answer to a request before bytes that are no request', async () => {
    await caller.send(
      formatRequest('a1', 'content-length: 0\r\n'),
      'no request\r\n\r\n',
    );
    await pause(600);
    expect(caller.listStatuses()).to.deep.equal(['200', '400']);
  });

  // Guards against losing the request in flight when a deployment changes the
  // timeouts of connections.
  for (const idleTimeoutMs of [100, 60_000]) {
    it(`should be answered when the idle timeout becomes ${idleTimeoutMs} ms`, async () => {
      await caller.send(formatRequest('a1', 'content-length: 0\r\n'));
      await pause(250);
      await caller.send(formatRequest('a2', 'content-length: 0\r\n'));
      fixture.platform.publishDeployment({
        ...sampleDeployment,
        version: 2,
        limits: {
          ...sampleDeployment.limits,
          idleTimeoutMs,
          headerTimeoutMs: 100,
        },
      });
      await pause(600);
      expect(caller.listStatuses()).to.deep.equal(['200', '200']);
    });
  }
});
