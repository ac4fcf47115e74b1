import type {Socket} from 'node:net';
import {expect} from 'chai';
import loglevel from 'loglevel';
import {ServerState} from '../../src/router/deployment.js';
import {DarkPorts} from '../support/darkPorts.js';
import {
  formatBackendAnswer,
  formatChunk,
  formatStreamHead,
  lastChunk,
  readHeader,
  RouterFixture,
  sampleDeployment,
  sampleServer,
  type RunningRouter,
} from './routerFixture.js';

const events = [1, 2].map(id => `id: ${id}\ndata: ${id}\n\n`);
/** More than a request may be sent to. */
const closedPorts = 7;
/** More than a test may take. */
const heldMs = 60_000;
/** Time after the deadline in which the rules want the final answer. */
const maxLatenessMs = 500;

describe('servers that accept no connection', () => {
  let fixture: RouterFixture;
  let dark: DarkPorts | undefined;
  let lines: Array<Record<string, unknown>>;
  const {methodFactory} = loglevel;
  const levelBefore = loglevel.getLevel();

  beforeEach(() => {
    fixture = new RouterFixture();
    dark = undefined;
    lines = [];
    loglevel.methodFactory = () => (line: string) =>
      void lines.push(JSON.parse(line) as Record<string, unknown>);
    loglevel.setLevel('info', false);
  });

  afterEach(async () => {
    await dark?.close();
    await fixture.stop();
    loglevel.methodFactory = methodFactory;
    loglevel.setLevel(levelBefore, false);
  });

  const findAll = (event: string) => lines.filter(line => line.event === event);

  async function startRouter(): Promise<RunningRouter> {
    const router = await fixture.addRouter();
    await fixture.waitReady(router);
    return router;
  }

  async function waitForServers({daemon}: RunningRouter, count: number) {
    const countUsable = () =>
      (daemon.describe() as {servers: {usable: unknown[]}}).servers.usable
        .length;
    await fixture.waitUntil(() => countUsable() === count, 'view of servers');
  }

  /**
   * Publishes servers whose ports are closed. No process listens on port 1; a
   * port that was closed for the test could be given to another process.
   */
  function addClosedServers(count: number): void {
    const closed = Array.from({length: count}, (_, index) => ({
      ...sampleServer,
      id: `closed-${index}`,
      host: `127.0.1.${1 + index}`,
      port: 1,
    }));
    fixture.platform.publishServers([...fixture.platform.servers, ...closed]);
  }

  /**
   * Publishes a server whose only slot is in use, so that all others are tried
   * before it.
   */
  async function addBusyServer(): Promise<RunningRouter> {
    // The order that holds the slot must not reach its deadline before the end
    // of a test, nor the pause of a stream the limit at which it is resumed at
    // another server: the view of servers may take longer than that to change.
    fixture.platform.deployment = {
      ...sampleDeployment,
      routes: sampleDeployment.routes.map(route => ({
        ...route,
        timeoutMs: heldMs,
        maxPauseMs: route.maxPauseMs && heldMs,
      })),
    };
    let isHeld = false;
    await fixture.addBackend(
      (socket, request) => {
        if (request.startsWith('GET /orders/held ')) isHeld = true;
        else answer(socket, request);
      },
      {slots: 1},
    );
    const router = await startRouter();
    void fixture.call(router, '/orders/held').catch(() => undefined);
    await fixture.waitUntil(() => isHeld, 'request that is held');
    return router;
  }

  function answer(socket: Socket, request: string): void {
    if (!/^GET .(draft|ask)/.test(request)) {
      socket.write(formatBackendAnswer(request, 'ok'));
      return;
    }
    const after = readHeader(request, 'x-after');
    socket.write(
      formatStreamHead(request) +
        formatChunk(events.slice(Number(after)).join('')) +
        lastChunk,
    );
  }

  // Guards against a stream that is broken off because several servers refuse
  // connections, though another one could resume it.
  it('should not keep a stream from being resumed', async () => {
    const router = await addBusyServer();
    let source: Socket | undefined;
    await fixture.addBackend((socket, request) => {
      source = socket;
      socket.write(formatStreamHead(request) + formatChunk(events[0]));
    });
    await waitForServers(router, 2);
    const call = fixture.call(router, '/draft/1');
    await fixture.waitUntil(() => source !== undefined, 'stream at a server');
    addClosedServers(closedPorts);
    await waitForServers(router, 2 + closedPorts);
    source?.destroy();
    const {body, isComplete} = await call;
    expect(body).to.equal(events.join(''));
    expect(isComplete).to.equal(true);
    expect(findAll('answered')[0]).to.include({
      sends: 2 + closedPorts,
      unreached: closedPorts,
    });
  });

  for (const path of ['/orders/1', '/status/1', '/draft/1', '/ask/1']) {
    // Guards against a request that is refused unrun because several servers
    // refuse connections, though another one could run it.
    it(`should not keep ${path} from the server that is left`, async () => {
      const router = await addBusyServer();
      addClosedServers(closedPorts);
      await waitForServers(router, 1 + closedPorts);
      expect(await fixture.call(router, path)).to.include({
        status: 200,
        isComplete: true,
      });
    });
  }

  // Guards against requests that each find out for themselves which servers
  // accept no connection.
  it('should be passed over by the requests that follow', async () => {
    const router = await addBusyServer();
    addClosedServers(closedPorts);
    await waitForServers(router, 1 + closedPorts);
    for (const path of ['/orders/1', '/orders/2']) {
      expect((await fixture.call(router, path)).status).to.equal(200);
    }
    const sends = findAll('answered').map(line => line.sends);
    expect(sends).to.deep.equal([1 + closedPorts, 1]);
  });

  // Guards against requests that each try every server of a service of which
  // none accepts connections, which keeps the router from its other work.
  it('should be tried a few times while none accepts connections', async () => {
    const count = 40;
    addClosedServers(count);
    const router = await startRouter();
    await waitForServers(router, count);
    for (const path of ['/orders/1', '/orders/2']) {
      expect((await fixture.call(router, path)).status).to.equal(503);
    }
    const [first, second] = findAll('refused').map(({sends}) => Number(sends));
    expect(first).to.equal(count);
    expect(second).to.be.at.most(6);
  });

  // Guards against a request that gets its answer late because servers without
  // power let each connection attempt time out.
  it('should not delay the answer beyond the deadline', async () => {
    dark = await DarkPorts.open(closedPorts);
    const router = await addBusyServer();
    const darkServers = dark.ports.map(port => ({
      ...sampleServer,
      id: `dark-${port}`,
      host: '127.0.0.1',
      port,
      state: ServerState.Ready,
    }));
    fixture.platform.publishServers([
      ...fixture.platform.servers,
      ...darkServers,
    ]);
    await waitForServers(router, 1 + closedPorts);
    const deadlineMs = 1_200;
    const startedAtMs = performance.now();
    const headers = {'x-deadline': String(deadlineMs)};
    const {status} = await fixture.call(router, '/orders/1', {headers});
    const elapsedMs = performance.now() - startedAtMs;
    expect(status).to.equal(503);
    expect(elapsedMs).to.be.lessThan(deadlineMs + maxLatenessMs);
  });
});
