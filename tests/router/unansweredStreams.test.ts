import net from 'node:net';
import {expect} from 'chai';
import {
  formatBackendAnswer,
  formatChunk,
  formatStreamHead,
  host,
  lastChunk,
  RouterFixture,
} from './routerFixture.js';

const event = 'id: 1\ndata: a\n\n';

/** Sends a request on a new connection and collects the bytes of its answer. */
function readAnswer(endpoint: string, path: string): Promise<string> {
  const [address, port] = endpoint.split(':');
  return new Promise(resolve => {
    const socket = net.connect(Number(port), address);
    let text = '';
    socket.setEncoding('latin1');
    socket.on('error', () => undefined);
    socket.on('data', data => (text += String(data)));
    socket.on('close', () => resolve(text));
    socket.write(
      `POST ${path} HTTP/1.1\r\nhost: ${host}\r\nx-key: k1\r\n` +
        'x-attempt: a1\r\nx-deadline: 700\r\nconnection: close\r\n\r\n',
    );
  });
}

function readStatus(answer: string): string {
  return answer.slice(0, 'HTTP/1.1 200'.length);
}

describe('streams that fail before their first event', () => {
  let fixture: RouterFixture;

  beforeEach(() => {
    fixture = new RouterFixture();
  });

  afterEach(() => fixture.stop());

  async function startRouter() {
    const router = await fixture.addRouter();
    await fixture.waitReady(router);
    return router;
  }

  // Guards against closing a caller's connection without a byte of an answer at
  // the deadline of a stream whose server has sent a head and no event yet.
  it('should answer 504 at the deadline', async () => {
    await fixture.addBackend((socket, request) =>
      socket.write(formatStreamHead(request)),
    );
    const router = await startRouter();
    const answer = await readAnswer(router.callers, '/ask/1');
    expect(readStatus(answer)).to.equal('HTTP/1.1 504');
  });

  // Guards against the same when the server closes its connection.
  it('should answer 502 when the server closes its connection', async () => {
    await fixture.addBackend((socket, request) =>
      socket.end(formatStreamHead(request)),
    );
    const router = await startRouter();
    const answer = await readAnswer(router.callers, '/ask/1');
    expect(readStatus(answer)).to.equal('HTTP/1.1 502');
  });

  // Guards against the same when the server that a stream is resumed at rejects
  // or fails it.
  for (const [what, text, status] of [
    ['rejects it', '503 Full\r\nx-not-run: 1', '502'],
    ['fails it', '500 Error', '500'],
  ]) {
    it(`should answer ${status} when the next server ${what}`, async () => {
      let count = 0;
      const script = (socket: net.Socket, request: string) => {
        count += 1;
        if (count === 1) socket.end(formatStreamHead(request));
        else {
          const answer = formatBackendAnswer(request, 'no');
          socket.write(answer.replace('200 OK', text));
        }
      };
      for (let i = 0; i < 2; i++) await fixture.addBackend(script);
      const router = await startRouter();
      const answer = await readAnswer(router.callers, '/draft/1');
      expect(readStatus(answer)).to.equal(`HTTP/1.1 ${status}`);
      expect(count).to.be.greaterThan(1);
    });
  }

  // Guards against the head of one server above the events of another.
  it('should pass on the head of the server that sends the first event', async () => {
    let count = 0;
    const script = (socket: net.Socket, request: string) => {
      count += 1;
      const head = formatStreamHead(request);
      socket.write(head.replace('x-stamp: s', `x-stamp: s${count}`));
      if (count === 1) socket.end();
      else socket.write(formatChunk(event) + lastChunk);
    };
    for (let i = 0; i < 2; i++) await fixture.addBackend(script);
    const router = await startRouter();
    const answer = await readAnswer(router.callers, '/draft/1');
    expect(readStatus(answer)).to.equal('HTTP/1.1 200');
    expect(answer).to.contain('x-stamp: s2');
    expect(answer).to.contain(event);
  });

  // Guards against withholding the answer of a stream that has no events.
  it('should pass on a complete stream without events', async () => {
    await fixture.addBackend((socket, request) =>
      socket.write(formatStreamHead(request) + lastChunk),
    );
    const router = await startRouter();
    const answer = await readAnswer(router.callers, '/ask/1');
    expect(readStatus(answer)).to.equal('HTTP/1.1 200');
    expect(answer.endsWith(lastChunk)).to.equal(true);
  });
});
