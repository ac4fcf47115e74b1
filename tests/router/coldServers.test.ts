import type {Socket} from 'node:net';
import {expect} from 'chai';
import {RawServer} from '../gateway/rawServer.js';
import {
  formatBackendAnswer,
  RouterFixture,
  sampleDeployment,
} from './routerFixture.js';

const coldStart = {durationMs: 3_000, requestsPerSecond: 10};
const bounds = {overrun: 1.5, slack: 5};
/** Most requests in any second: 10 * 1.5 + 5. */
const limit = 20;
const routers = 3;
/** Routers know that a server is warm after this time from their start. */
const learnMs = 3_000;
const downMs = 1_200;
/** The entry of the new process becomes visible this long after its start. */
const entryDelayMs = 1_000;
const requestIntervalMs = 8;
const busyMs = 60;

function waitMs(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

describe('server that crashes and returns under its id', () => {
  let fixture: RouterFixture;
  let returned: RawServer | undefined;
  let arrivedAtMs: number[];
  let statuses: number[];

  beforeEach(() => {
    fixture = new RouterFixture();
    returned = undefined;
    arrivedAtMs = [];
    statuses = [];
    const [service] = sampleDeployment.services;
    fixture.platform.deployment = {
      ...sampleDeployment,
      services: [{...service, coldStart}],
    };
  });

  afterEach(async () => {
    await fixture.stop();
    await returned?.stop();
  });

  function answer(socket: Socket, request: string): void {
    arrivedAtMs.push(performance.now());
    socket.write(formatBackendAnswer(request, 'ok'));
  }

  function findMostInSecond(times: readonly number[]): number {
    return Math.max(
      ...times.map(
        start => times.filter(t => t >= start && t < start + 1_000).length,
      ),
    );
  }

  /** Sends requests to the routers in turn. */
  async function sendFor(ms: number): Promise<void> {
    const calls: Array<Promise<unknown>> = [];
    const endsAtMs = performance.now() + ms;
    for (let sent = 0; performance.now() < endsAtMs; sent++) {
      const router = fixture.routers[sent % routers];
      const call = fixture.call(router, '/status/1');
      calls.push(call.then(({status}) => statuses.push(status)));
      await waitMs(requestIntervalMs);
    }
    await Promise.all(calls);
  }

  // Guards against a cold server that all routers prefer because it is empty,
  // before the platform tells them that it has restarted.
  it('should not be flooded, nor left idle', async () => {
    const crashing = await fixture.addBackend(answer, {startedAt: 1});
    // The other server is busy, so that routers prefer the one that returns.
    await fixture.addBackend((socket, request) => {
      const respond = () => socket.write(formatBackendAnswer(request, 'ok'));
      setTimeout(respond, busyMs);
    });
    for (let i = 0; i < routers; i++) {
      await fixture.addRouter({coldServers: bounds});
    }
    for (const router of fixture.routers) await fixture.waitReady(router);
    await sendFor(learnMs);
    const port = Number(crashing.address.split(':')[1]);
    const usualRate = findMostInSecond(arrivedAtMs);
    expect(usualRate).to.be.greaterThan(limit);
    await crashing.stop();
    const traffic = sendFor(downMs + coldStart.durationMs);
    await waitMs(downMs);
    arrivedAtMs = [];
    const returnedAtMs = performance.now();
    returned = await RawServer.start(answer, port);
    await waitMs(entryDelayMs);
    const [entry, ...others] = fixture.platform.servers;
    const warmUpMs = coldStart.durationMs - entryDelayMs;
    fixture.platform.publishServers([
      {...entry, startedAt: 2, warmUpMs},
      ...others,
    ]);
    await traffic;
    const coldUntilMs = returnedAtMs + coldStart.durationMs;
    const arrivals = arrivedAtMs.filter(atMs => atMs < coldUntilMs);
    expect(findMostInSecond(arrivals)).to.be.at.most(limit);
    const borne = (coldStart.requestsPerSecond * coldStart.durationMs) / 1_000;
    expect(arrivals.length).to.be.at.least(borne / 3);
    expect(new Set(statuses)).to.deep.equal(new Set([200]));
  });
});
