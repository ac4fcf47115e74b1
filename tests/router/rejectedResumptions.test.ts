import net from 'node:net';
import {expect} from 'chai';
import {
  formatBackendAnswer,
  formatChunk,
  formatStreamHead,
  lastChunk,
  readHeader,
  RouterFixture,
} from './routerFixture.js';

const events = [1, 2, 3].map(id => `id: ${id}\ndata: ${id}\n\n`);

describe('resumption of a stream', () => {
  let fixture: RouterFixture;

  beforeEach(() => {
    fixture = new RouterFixture();
  });

  afterEach(() => fixture.stop());

  // Guards against breaking off the stream of a sound server after a pause, when
  // no server has room to resume it.
  it('should not cost a stream that goes on after a pause', async () => {
    let runs = 0;
    const script = (socket: net.Socket, request: string) => {
      if (runs > 0 || readHeader(request, 'x-after') !== '') {
        socket.write(
          formatBackendAnswer(request, '', 'x-not-run: 1\r\n').replace(
            '200 OK',
            '503 Full',
          ),
        );
        return;
      }
      runs += 1;
      socket.write(formatStreamHead(request) + formatChunk(events[0]));
      setTimeout(() => {
        if (socket.destroyed) return;
        socket.write(formatChunk(events[1] + events[2]) + lastChunk);
      }, 1_200);
    };
    for (let i = 0; i < 2; i++) await fixture.addBackend(script);
    const router = await fixture.addRouter();
    await fixture.waitReady(router);
    const answer = await fixture.call(router, '/draft/1');
    expect(answer.isComplete).to.equal(true);
    expect(answer.body).to.equal(events.join(''));
  });
});
