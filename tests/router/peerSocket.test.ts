import dgram from 'node:dgram';
import {expect} from 'chai';
import loglevel from 'loglevel';
import {Log} from '../../src/node/log.js';
import {UdpPeerSocket} from '../../src/router/peerSocket.js';

describe('socket for datagrams of peers', () => {
  const {methodFactory} = loglevel;
  const levelBefore = loglevel.getLevel();
  let lines: string[];

  beforeEach(() => {
    lines = [];
    loglevel.methodFactory = () => (line: string) => void lines.push(line);
    loglevel.setLevel('info', false);
  });

  afterEach(() => {
    loglevel.methodFactory = methodFactory;
    loglevel.setLevel(levelBefore, false);
  });

  // Guards against a router that stops, with all requests in flight, because the
  // handling of one datagram fails.
  it('should receive the next datagram after one that failed', async () => {
    const address = '127.0.0.21';
    const port = await findFreePort(address);
    const socket = new UdpPeerSocket({address, port, log: new Log({})});
    const stop = new AbortController();
    const received: number[] = [];
    let notify: () => void = () => undefined;
    await socket.listen(([byte]) => {
      received.push(byte);
      notify();
      if (byte === 1) throw new TypeError('malformed state');
    }, stop.signal);
    for (const byte of [1, 2]) {
      const isReceived = new Promise<void>(resolve => (notify = resolve));
      socket.send(address, Uint8Array.of(byte));
      await isReceived;
    }
    stop.abort();
    expect(received).to.deep.equal([1, 2]);
    expect(lines.join()).to.include('datagram failed').and.include('malformed');
  });

  // Guards against a router that waits for ever at its start, without an error,
  // because its port is taken.
  it('should reject if its port is taken', async () => {
    const address = '127.0.0.21';
    const port = await findFreePort(address);
    const stop = new AbortController();
    const listen = () =>
      new UdpPeerSocket({address, port, log: new Log({})})
        .listen(() => undefined, stop.signal)
        .catch((error: unknown) => String(error));
    expect(await listen()).to.equal(undefined);
    expect(await listen()).to.include('EADDRINUSE');
    stop.abort();
  });
});

async function findFreePort(address: string): Promise<number> {
  const socket = dgram.createSocket('udp4');
  await new Promise<void>(resolve => socket.bind(0, address, resolve));
  const {port} = socket.address();
  await new Promise<void>(resolve => socket.close(() => resolve()));
  return port;
}
