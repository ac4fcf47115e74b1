import net from 'node:net';
import {expect} from 'chai';
import {pauseEventLoop} from '../support/eventLoop.js';
import {
  formatChunk,
  formatStreamHead,
  host,
  lastChunk,
  RouterFixture,
} from './routerFixture.js';

const pause = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

describe('silence of a stream', () => {
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

  // Guards against aborting the streams of sound servers after a delay of the
  // event loop: their events have arrived, but the silence is checked first.
  it('should not include a delay of the event loop', async () => {
    const sockets: net.Socket[] = [];
    for (let i = 0; i < 2; i++) {
      await fixture.addBackend((socket, request) => {
        sockets.push(socket);
        socket.write(formatStreamHead(request));
        socket.write(formatChunk('id: 1\ndata: a\n\n'));
      });
    }
    const router = await startRouter();
    const answer = fixture.call(router, '/draft/1');
    await fixture.waitUntil(() => sockets.length > 0, 'a stream');
    await pause(50);
    sockets[0].write(formatChunk('id: 2\ndata: b\n\n'));
    pauseEventLoop(1_500);
    await pause(100);
    expect(sockets).to.have.length(1);
    sockets[0].write(formatChunk('id: 3\ndata: c\n\n') + lastChunk);
    expect((await answer).body).to.contain('data: c');
  });

  // Guards against aborting the stream of a sound server while the caller reads
  // slowly and the router therefore doesn't read from the server.
  it('should not include the time in which the caller takes no bytes', async () => {
    let runs = 0;
    const large = 'x'.repeat(50_000);
    const count = 400;
    for (let i = 0; i < 2; i++) {
      await fixture.addBackend((socket, request) => {
        runs += 1;
        socket.write(formatStreamHead(request));
        for (let id = 1; id <= count; id++) {
          socket.write(formatChunk(`id: ${id}\ndata: ${large}\n\n`));
        }
        socket.write(lastChunk);
      });
    }
    const router = await startRouter();
    const [address, port] = router.callers.split(':');
    const socket = net.connect(Number(port), address);
    let text = '';
    socket.setEncoding('latin1');
    socket.on('data', data => (text += String(data)));
    socket.write(
      `GET /draft/1 HTTP/1.1\r\nhost: ${host}\r\nx-key: k1\r\n` +
        'x-attempt: a1\r\n\r\n',
    );
    await fixture.waitUntil(() => text.length > 0, 'bytes of the answer');
    socket.pause();
    await pause(1_500);
    socket.resume();
    const ended = new Promise(resolve => socket.once('close', resolve));
    await Promise.race([
      ended,
      fixture.waitUntil(() => text.endsWith(lastChunk), 'end of the answer'),
    ]);
    socket.destroy();
    expect(runs).to.equal(1);
    expect(text.endsWith(lastChunk)).to.equal(true);
  });
});
