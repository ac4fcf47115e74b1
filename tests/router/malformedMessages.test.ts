import dgram from 'node:dgram';
import net from 'node:net';
import {encode} from '@msgpack/msgpack';
import {expect} from 'chai';
import loglevel from 'loglevel';
import {formatVersion} from '../../src/router/datagramCodec.js';
import {
  formatBackendAnswer,
  RouterFixture,
  type RunningRouter,
} from './routerFixture.js';

/** Sends text on a new connection; resolves to the first bytes that arrive. */
function sendRaw(endpoint: string, text: string): Promise<string> {
  const [host, port] = endpoint.split(':');
  return new Promise((resolve, reject) => {
    const socket = net.connect(Number(port), host, () => socket.write(text));
    socket.setTimeout(1_000, () => socket.destroy(new Error('no answer')));
    socket.once('data', data => {
      resolve(data.toString('latin1'));
      socket.destroy();
    });
    socket.once('error', reject);
    socket.once('close', () => resolve(''));
  });
}

describe('malformed messages', () => {
  let fixture: RouterFixture;
  let router: RunningRouter;

  beforeEach(async () => {
    fixture = new RouterFixture();
    await fixture.addBackend((socket, request) =>
      socket.write(formatBackendAnswer(request, 'ok')),
    );
    router = await fixture.addRouter();
    await fixture.waitReady(router);
  });

  afterEach(() => fixture.stop());

  // Guards against an uncaught error: `//` is a valid request target but not a
  // valid URL, and parsing it ended the process.
  for (const target of ['//', '/%', 'http://', '*', '/addresses?zone=%ff']) {
    it(`should not end the process: target ${target} at any port`, async () => {
      const text = `GET ${target} HTTP/1.1\r\nhost: h\r\n\r\n`;
      for (const endpoint of [
        router.addresses,
        router.ready,
        router.peers,
        router.callers,
      ]) {
        const answer = await sendRaw(endpoint, text);
        expect(answer).to.match(/^HTTP\/1\.1 [2-5]\d\d/);
      }
      const answer = await fixture.call(router, '/status/1');
      expect(answer.status).to.equal(200);
    });
  }

  // Guards against servers that count as unreachable at their router, and as
  // failing in the whole fleet, because of a request that can't be sent to any.
  it('should not count against the servers: two hosts', async () => {
    const host = 'host: shop.example\r\n';
    const text = `GET /status/1 HTTP/1.1\r\n${host}${host}x-key: k1\r\n\r\n`;
    const answer = await sendRaw(router.callers, text);
    expect(answer).to.match(/^HTTP\/1\.1 400/);
    const {servers} = router.daemon.describe() as {
      servers: {usable: Array<{outcomes: {failures: number}}>};
    };
    expect(servers.usable[0].outcomes.failures).to.equal(0);
  });

  it('should not end the process: datagrams of any content', async () => {
    const [host] = router.callers.split(':');
    const {methodFactory} = loglevel;
    const levelBefore = loglevel.getLevel();
    const lines: string[] = [];
    loglevel.methodFactory = () => (line: string) => void lines.push(line);
    loglevel.setLevel('error', false);
    const socket = dgram.createSocket('udp4');
    const kinds = [0, 1, 2, 3, 4, -1, 'x'];
    const fields = [
      [],
      [[]],
      [null, 1, 'a', {}, []],
      [[['not an address', 1, 'v', 'z', 'c', 'p', 1]]],
      [['not an address', 1, 'v', 'z', 'c', 'p', 1]],
      [['10.0.0.1', new Uint8Array([1, 2, 3])]],
    ];
    for (const kind of kinds) {
      for (const list of fields) {
        const bytes = encode([formatVersion, kind, list]);
        await new Promise(resolve =>
          socket.send(bytes, fixture.exchangePort, host, resolve),
        );
      }
    }
    socket.close();
    await new Promise(resolve => setTimeout(resolve, 100));
    const answer = await fixture.call(router, '/status/1');
    loglevel.methodFactory = methodFactory;
    loglevel.setLevel(levelBefore, false);
    expect(answer.status).to.equal(200);
    expect(lines).to.deep.equal([]);
  });
});
