import net from 'node:net';
import {expect} from 'chai';
import {HeaderCodec} from '../../platform/headerCodec.js';
import {host, RouterFixture} from '../router/routerFixture.js';

const attemptId = 'a1';

/** Sends bytes on a connection and collects the answer until it is quiet. */
async function sendBytes(endpoint: string, text: string): Promise<string> {
  const [address, port] = endpoint.split(':');
  const socket = net.connect(Number(port), address);
  let answer = '';
  socket.setEncoding('latin1');
  socket.on('error', () => undefined);
  const closed = new Promise(resolve => socket.once('close', resolve));
  socket.on('data', data => (answer += String(data)));
  socket.write(text, 'latin1');
  await Promise.race([
    closed,
    new Promise(resolve => setTimeout(resolve, 2_000)),
  ]);
  socket.destroy();
  return answer;
}

const stamp = `Attempt-Id: ${attemptId}\r\nRunner-Stamp: s\r\n`;
const event = 'id: 1\n\n';
const body = `Content-Length: ${event.length}\r\n\r\n${event}`;
/** Answers of a backend server that are legal but unusual. */
const answers: Record<string, string> = {
  'a reason phrase with bytes above 127': `HTTP/1.1 200 \xe9t\xe9\r\n${stamp}${body}`,
  'an empty reason phrase': `HTTP/1.1 200 \r\n${stamp}${body}`,
  'a status of 999': `HTTP/1.1 999 Odd\r\n${stamp}${body}`,
  'a header value with bytes above 127': `HTTP/1.1 200 OK\r\nX-Note: \xe9\xff\r\n${stamp}${body}`,
  'a header value with a tab': `HTTP/1.1 200 OK\r\nX-Note: a\tb\r\n${stamp}${body}`,
  'a header value with a control character': `HTTP/1.1 200 OK\r\nX-Note: a\x01b\r\n${stamp}${body}`,
  'a header value with DEL': `HTTP/1.1 200 OK\r\nX-Note: a\x7fb\r\n${stamp}${body}`,
  'an empty header value': `HTTP/1.1 200 OK\r\nX-Note:\r\n${stamp}${body}`,
  'a folded header': `HTTP/1.1 200 OK\r\nX-Note: a\r\n  b\r\n${stamp}${body}`,
  'an odd header name': `HTTP/1.1 200 OK\r\n!#$%&'*+-.^_|~: a\r\n${stamp}${body}`,
  'a header called __proto__': `HTTP/1.1 200 OK\r\n__proto__: a\r\n${stamp}${body}`,
  'two Date headers': `HTTP/1.1 200 OK\r\nDate: a\r\nDate: b\r\n${stamp}${body}`,
  'status 204': `HTTP/1.1 204 None\r\n${stamp}\r\n`,
  'status 204 with a length': `HTTP/1.1 204 None\r\n${stamp}Content-Length: 0\r\n\r\n`,
  'status 205': `HTTP/1.1 205 Reset\r\n${stamp}Content-Length: 0\r\n\r\n`,
  'status 304': `HTTP/1.1 304 Same\r\n${stamp}\r\n`,
  'status 102 before the answer': `HTTP/1.1 102 Wait\r\n\r\nHTTP/1.1 200 OK\r\n${stamp}${body}`,
  'status 103 before the answer': `HTTP/1.1 103 Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\n${stamp}${body}`,
  'status 100 before the answer': `HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n${stamp}${body}`,
  'status 101': `HTTP/1.1 101 Switch\r\nUpgrade: x\r\nConnection: upgrade\r\n${stamp}\r\n`,
  'status 000': `HTTP/1.1 000 Odd\r\n${stamp}${body}`,
  'status 099': `HTTP/1.1 099 Odd\r\n${stamp}${body}`,
  trailers: `HTTP/1.1 200 OK\r\nTrailer: X-T\r\n${stamp}Transfer-Encoding: chunked\r\n\r\n7\r\n${event}\r\n0\r\nX-T: \xe9\x01\r\n\r\n`,
  'an Upgrade header': `HTTP/1.1 200 OK\r\nUpgrade: h2c\r\n${stamp}${body}`,
  'HTTP/1.0': `HTTP/1.0 200 OK\r\n${stamp}\r\n${event}`,
  'a body of gzip without a length': `HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\n${stamp}${body}`,
  'a Connection header that lists Attempt-Id': `HTTP/1.1 200 OK\r\nConnection: Attempt-Id, Runner-Stamp\r\n${stamp}${body}`,
};

describe('unusual answers of backend servers', () => {
  let fixture: RouterFixture;

  beforeEach(() => {
    fixture = new RouterFixture();
  });

  afterEach(() => fixture.stop());

  // Guards against an exception while an answer is passed on, which would close
  // the caller's connection without an answer or end the process.
  for (const path of ['/orders/', '/ask/', '/draft/']) {
    for (const method of ['GET', 'POST', 'HEAD']) {
      it(`should answer ${method} ${path} whatever the server sends`, async () => {
        let answer = '';
        const backend = await fixture.addBackend(socket =>
          socket.end(answer, 'latin1'),
        );
        const router = await fixture.addRouter({
          codec: new HeaderCodec(),
          retrySlack: 1_000,
        });
        await fixture.waitUntil(
          async () =>
            (await fixture.get(router.ready, '/-/readyz')).status === 200,
          'router ready',
        );
        const failed: string[] = [];
        for (const [name, text] of Object.entries(answers)) {
          const before = backend.requests.length;
          const id = encodeURIComponent(name);
          answer = text;
          const head = `${method} ${path}${id} HTTP/1.1\r\nHost: ${host}\r\nAuthorization: Token k1\r\nAttempt-Id: ${attemptId}\r\nConnection: close\r\n\r\n`;
          const bytes = await sendBytes(router.callers, head);
          const isSent = backend.requests.length > before;
          if (!isSent || !bytes.startsWith('HTTP/1.1 ')) failed.push(name);
        }
        expect(failed).to.deep.equal([]);
      }).timeout(60_000);
    }
  }
});
