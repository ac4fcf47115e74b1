import fs from 'node:fs';
import http from 'node:http';
import type {AddressInfo} from 'node:net';
import os from 'node:os';
import path from 'node:path';
import {expect} from 'chai';
import {waitFor} from '../../src/node/delay.js';
import {host, sampleDeployment, sampleServer} from '../router/routerFixture.js';
import {RawCaller} from '../support/rawCaller.js';
import {PublishedStateServer} from './httpPublishedState.js';
import {SoakRouter} from './soakFleet.js';

/** Time that the server takes for its answer. */
const workMs = 1_500;

describe('signals to a router process that stops', () => {
  let folder: string;
  let platform: PublishedStateServer;
  let server: http.Server;
  let router: SoakRouter;

  beforeEach(async () => {
    folder = fs.mkdtempSync(path.join(os.tmpdir(), 'repeated-sigterm-'));
    platform = await PublishedStateServer.start();
    server = http.createServer((incoming, response) => {
      response.setHeader('x-attempt', incoming.headers['x-attempt'] ?? '');
      response.setHeader('x-stamp', 's');
      const isOrder = incoming.url?.startsWith('/orders/');
      setTimeout(() => response.end('done'), isOrder ? workMs : 0);
    });
    await new Promise<void>(resolve =>
      server.listen(0, '127.0.0.1', () => resolve()),
    );
    const {port} = server.address() as AddressInfo;
    platform.state.publishServers([{...sampleServer, host: '127.0.0.1', port}]);
    platform.state.publishDeployment(sampleDeployment);
    router = new SoakRouter(0, folder, `127.0.0.1:${platform.port}`);
    router.start();
    while (!(await router.isReady())) await waitFor(50);
  });

  afterEach(async () => {
    router.signal('SIGKILL');
    await router.waitForExit();
    server.close();
    server.closeAllConnections();
    platform.stop();
    fs.rmSync(folder, {recursive: true});
  });

  /** Sends an order and two signals; returns what the caller received. */
  async function sendSignals(
    first: NodeJS.Signals,
    second: NodeJS.Signals,
  ): Promise<RawCaller> {
    const caller = await RawCaller.open(router.callers);
    caller.send(
      `GET /orders/1 HTTP/1.1\r\nhost: ${host}\r\n` +
        'x-key: k1\r\nx-attempt: r1\r\n\r\n',
    );
    await waitFor(200);
    router.signal(first);
    await waitFor(200);
    router.signal(second);
    await caller.ended;
    return caller;
  }

  // Guards against ending all requests in flight because work on the VM that
  // overlaps signals the process twice. A platform that must end a process at
  // once kills it.
  it('should finish requests after a second SIGTERM', async () => {
    const caller = await sendSignals('SIGTERM', 'SIGTERM');
    expect(caller.statuses).to.deep.equal([200]);
  });

  // Guards against a process that its operator can't end from a terminal.
  it('should stop at once after a second SIGINT', async () => {
    const caller = await sendSignals('SIGINT', 'SIGINT');
    expect(caller.statuses).to.deep.equal([504]);
    await router.waitForExit();
  });
});
