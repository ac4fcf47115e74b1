import {expect} from 'chai';
import {waitFor} from '../../src/node/delay.js';
import {ServerState} from '../../src/router/deployment.js';
import {
  formatBackendAnswer,
  formatChunk,
  formatStreamHead,
  lastChunk,
  RouterFixture,
  sampleDeployment,
  type RunningRouter,
} from './routerFixture.js';

/** Time within which no request reaches an evacuated zone. */
const evacuationBoundMs = 2_000;
/** Time in which a router that can't reach the store follows the others. */
const followBoundMs = 1_000;
/** Time after a restore in which a missing evacuation is kept. */
const restoredPeriodMs = 6_000;
const zones = ['a', 'b'];
const event = 'id: 1\ndata: a\n\n';

describe('routers beside an evacuated zone', () => {
  let fixture: RouterFixture;
  /** Requests that reached the server in zone "b". */
  let reached: string[];
  let attempt: number;

  beforeEach(async () => {
    fixture = new RouterFixture();
    reached = [];
    attempt = 0;
    const answer = (request: string) =>
      request.startsWith('GET /draft/')
        ? formatStreamHead(request) + formatChunk(event) + lastChunk
        : formatBackendAnswer(request, 'ok');
    await fixture.addBackend((socket, request) => {
      if (!request.includes('silent')) socket.write(answer(request));
    });
    // Its failures cause retries, resumptions and probes.
    await fixture.addBackend((socket, request) => {
      if (request.includes('silent')) return;
      if (request.startsWith('GET /draft/')) {
        socket.write(formatStreamHead(request) + formatChunk(event));
      }
      setTimeout(() => socket.destroy(), 20);
    });
    await fixture.addBackend(
      (socket, request) => {
        reached.push(request);
        socket.write(answer(request));
      },
      {zone: 'b'},
    );
    for (let i = 0; i < 2; i++) await addRouter();
    for (const router of fixture.routers) await fixture.waitReady(router);
  });

  afterEach(() => fixture.stop());

  function addRouter(isPlatformUnreachable = false): Promise<RunningRouter> {
    return fixture.addRouter({
      isFirstStart: false,
      isPlatformUnreachable,
      zones,
      evacuationBoundMs,
    });
  }

  /** Sends each kind of request to a router; one gets no answer at first. */
  async function callOnce(router: RunningRouter): Promise<number[]> {
    attempt += 1;
    const paths = ['status', 'orders', 'draft', 'ask', 'draft/silent'];
    const calls = paths.map(path =>
      fixture.call(router, `/${path}/${attempt}`, {
        signal: AbortSignal.timeout(1_500),
      }),
    );
    const answers = await Promise.allSettled(calls);
    return answers.flatMap(result =>
      result.status === 'fulfilled' ? [result.value.status] : [],
    );
  }

  /** Calls all routers for some time, also those that start meanwhile. */
  async function callFor(periodMs: number): Promise<void> {
    const endsAtMs = performance.now() + periodMs;
    while (performance.now() < endsAtMs) {
      await Promise.all(fixture.routers.map(callOnce));
      await waitFor(20);
    }
  }

  async function evacuate(): Promise<void> {
    await callFor(500);
    expect(reached).not.to.deep.equal([]);
    fixture.platform.evacuate('b');
    await waitFor(evacuationBoundMs);
    reached = [];
  }

  function expectNothingSent(): void {
    expect(reached).to.deep.equal([]);
  }

  async function expectReturn(): Promise<void> {
    fixture.platform.endEvacuation('b');
    await waitFor(evacuationBoundMs);
    await callFor(500);
    expect(reached).not.to.deep.equal([]);
  }

  // Guards against requests to the zone when the store goes away, above all from
  // a router that starts then and learns the servers from its peers.
  it('should send nothing there while the store is away', async () => {
    await evacuate();
    fixture.platform.isDown = true;
    const started = addRouter(true);
    await callFor(1_000);
    await fixture.waitReady(await started);
    await callFor(2_000);
    expectNothingSent();
    fixture.platform.isDown = false;
    fixture.platform.failingReaders.clear();
    await expectReturn();
  });

  // Guards against requests to the zone while a store restored from a backup
  // lacks the evacuation, above all from a router that starts then.
  it('should send nothing there when the store is restored', async () => {
    const {platform} = fixture;
    platform.writeHeartbeats(1_000);
    await evacuate();
    platform.resetTo({servers: platform.servers, deployment: sampleDeployment});
    const started = addRouter();
    await callFor(restoredPeriodMs / 2);
    await fixture.waitReady(await started);
    platform.evacuate('b');
    await callFor(restoredPeriodMs / 2 + 1_000);
    expectNothingSent();
    await expectReturn();
  }).timeout(30_000);

  it('should follow the others without contact to the store', async () => {
    const cutOff = await addRouter(true);
    await fixture.waitReady(cutOff);
    fixture.platform.evacuate('b');
    await waitFor(followBoundMs);
    reached = [];
    for (let i = 0; i < 2; i++) await callOnce(cutOff);
    expectNothingSent();
  });

  it('should state when to retry if no other server is left', async () => {
    const {platform} = fixture;
    const servers = platform.servers.filter(({zone}) => zone === 'b');
    const draining = platform.servers.filter(({zone}) => zone === 'a');
    const state = ServerState.Draining;
    platform.publishServers([
      ...servers,
      ...draining.map(server => ({...server, state})),
    ]);
    platform.evacuate('b');
    await waitFor(evacuationBoundMs);
    reached = [];
    const {status, headers} = await fixture.call(
      fixture.routers[0],
      '/status/1',
    );
    expect(status).to.equal(503);
    expect(Number(headers['retry-after'])).to.be.at.least(1);
    expectNothingSent();
  });
});
