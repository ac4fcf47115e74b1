import net from 'node:net';
import {expect} from 'chai';
import {
  formatBackendAnswer,
  formatChunk,
  formatStreamHead,
  lastChunk,
  RouterFixture,
} from './routerFixture.js';

const event = 'id: 1\ndata: a\n\n';
/** Well above the limit of silence before an answer or a first event. */
const answerAfterMs = 1_600;

describe('silent attempts before an answer', () => {
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

  function answer(socket: net.Socket, request: string): void {
    socket.write(
      request.startsWith('GET /draft/')
        ? formatStreamHead(request) + formatChunk(event) + lastChunk
        : formatBackendAnswer(request, 'done'),
    );
  }

  for (const [what, path, body] of [
    ['answer', '/status/1', 'done'],
    ['first event', '/draft/1', event],
  ]) {
    // Guards against giving up work that may succeed when no other server can
    // take its place.
    it(`should go on until the ${what} when there is no other server`, async () => {
      let runs = 0;
      let closes = 0;
      await fixture.addBackend((socket, request) => {
        runs += 1;
        socket.on('close', () => (closes += 1));
        setTimeout(() => answer(socket, request), answerAfterMs);
      });
      const result = await fixture.call(await startRouter(), path);
      expect(result.body).to.equal(body);
      expect({runs, closes}).to.deep.equal({runs: 1, closes: 0});
    });

    // Guards against the same when all other servers have refused the request.
    it(`should go on until the ${what} when the others refused it`, async () => {
      const requests: string[] = [];
      let hasSilent = false;
      const script = (socket: net.Socket, request: string) => {
        requests.push(request);
        if (requests.length === 1) {
          const refusal = formatBackendAnswer(request, '', 'x-not-run: 1\r\n');
          socket.write(refusal.replace('200 OK', '503 Full'));
          return;
        }
        hasSilent = true;
        setTimeout(() => answer(socket, request), answerAfterMs);
      };
      for (let i = 0; i < 2; i++) await fixture.addBackend(script);
      const result = await fixture.call(await startRouter(), path);
      expect(hasSilent).to.equal(true);
      expect(result.body).to.equal(body);
      expect(requests).to.have.length(2);
    });

    // Guards against a check that is made once only: a server that appears
    // later would not be used.
    it(`should be replaced before the ${what} once another server is there`, async () => {
      const silent: net.Socket[] = [];
      await fixture.addBackend(socket => silent.push(socket));
      const router = await startRouter();
      const result = fixture.call(router, path);
      await fixture.waitUntil(() => silent.length > 0, 'a request');
      await new Promise(resolve => setTimeout(resolve, 1_000));
      expect(silent[0].destroyed).to.equal(false);
      await fixture.addBackend(answer);
      expect((await result).body).to.equal(body);
      await fixture.waitUntil(() => silent[0].destroyed, 'a close');
      expect(silent).to.have.length(1);
    });
  }
});
