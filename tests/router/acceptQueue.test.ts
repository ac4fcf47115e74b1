import net from 'node:net';
import type {AddressInfo} from 'node:net';
import {expect} from 'chai';
import {waitFor} from '../../src/node/delay.js';
import {AcceptQueue} from '../../src/router/acceptQueue.js';
import {pauseEventLoop} from '../support/eventLoop.js';

const address = '127.0.0.1';
/** Connections that are opened together, one an iteration is accepted. */
const burst = 60;
/** Work of each iteration of the event loop, in milliseconds. */
const workMs = 10;

describe('waits to be accepted', () => {
  let server: net.Server;
  let queue: AcceptQueue;
  let waitsMs: number[];
  let markers: number;
  const callers: net.Socket[] = [];

  beforeEach(async () => {
    queue = new AcceptQueue();
    waitsMs = [];
    markers = 0;
    server = net.createServer(socket => {
      socket.on('error', () => undefined);
      if (queue.recordAccept(socket)) {
        waitsMs.push(queue.takeWaitMs(socket));
      } else {
        markers += 1;
        socket.destroy();
      }
    });
    await new Promise<void>(resolve => server.listen(0, address, resolve));
    queue.start(address, (server.address() as AddressInfo).port);
  });

  afterEach(() => {
    queue.stop();
    for (const socket of callers.splice(0)) socket.destroy();
    server.close();
  });

  /** Opens the connections at once; resolves when all have been accepted. */
  async function acceptBurst(iterationMs: number): Promise<void> {
    const {port} = server.address() as AddressInfo;
    for (let i = 0; i < burst; i += 1) {
      const socket = net.connect({port, host: address});
      callers.push(socket.on('error', () => undefined));
    }
    while (waitsMs.length < burst) {
      await new Promise(resolve => setImmediate(resolve));
      pauseEventLoop(iterationMs);
    }
  }

  // Guards against counting the age of a request from its reading, after its
  // connection has waited for most of its deadline (GONE, BUDGET).
  it('should be measured while iterations are long', async () => {
    await acceptBurst(workMs);
    const lastMs = Math.max(...waitsMs);
    // The last connection waited for all others, less what is not measured:
    // the time until the first marker, and the interval of the markers.
    expect(lastMs).to.be.at.least((burst * workMs) / 2);
    expect(lastMs).to.be.at.most(burst * workMs * 2);
    await waitFor(100);
    expect(markers).to.be.at.least(1);
    expect(queue.measureWaitMs()).to.equal(0);
    expect(queue.takeCounts()).to.deep.equal({
      accepts: burst,
      maxWaitMs: lastMs,
    });
  });

  // Guards against markers at a router that keeps up, which would cost processor
  // time on each burst.
  it('should be 0 and cost nothing while iterations are short', async () => {
    await acceptBurst(0);
    expect(Math.max(...waitsMs)).to.equal(0);
    expect(markers).to.equal(0);
  });
});
