import {expect} from 'chai';
import {ServerState} from '../../src/router/deployment.js';
import {
  formatBackendAnswer,
  RouterFixture,
  sampleDeployment,
} from './routerFixture.js';

/** `contactBoundMs` of the fixture's routers. */
const contactBoundMs = 3_000;
/** A first read after a dead connection may fail on another one. */
const failedReadMs = 900;

describe('reads of the platform by a fleet', () => {
  let fixture: RouterFixture;

  beforeEach(() => {
    fixture = new RouterFixture();
  });

  afterEach(() => fixture.stop());

  async function startFleet(count: number, isLastUnreachable = false) {
    for (let i = 0; i < count; i++) {
      const isUnreachable = isLastUnreachable && i === count - 1;
      await fixture.addRouter({isPlatformUnreachable: isUnreachable});
    }
    for (const router of fixture.routers) await fixture.waitReady(router);
  }

  // Calls to the platform are charged, so their number must not grow with the
  // fleet. Guards against four routers that each watch the deployment and make
  // four times as many calls.
  it('should call the platform about as often with four routers as with one', async () => {
    await fixture.addBackend((socket, request) =>
      socket.write(formatBackendAnswer(request, 'ok')),
    );
    await startFleet(4);
    const {calls} = fixture.platform;
    const before = {...calls, serverReads: fixture.platform.serverReads};
    const periodMs = 3_000;
    await new Promise(resolve => setTimeout(resolve, periodMs));
    const reads = fixture.platform.serverReads - before.serverReads;
    expect(reads).to.be.within(3, 6);
    expect(calls.watches - before.watches).to.be.within(1, 6);
  });

  // Guards against a read per router: 195 routers that started within 0.3 s
  // made 195 reads.
  it('should ask the platform once when all routers start together', async () => {
    await fixture.addBackend((socket, request) =>
      socket.write(formatBackendAnswer(request, 'ok')),
    );
    await startFleet(6);
    expect(fixture.platform.serverReads).to.be.at.most(3);
  });

  // Guards against a fleet that is outdated for longer than the bound after a
  // fault: the only router that waits for new deployments didn't notice that its
  // connection was dead, while its reads of the servers went on.
  it('should find a new deployment in time when the watch gets no answer', async () => {
    await fixture.addBackend((socket, request) =>
      socket.write(formatBackendAnswer(request, 'ok')),
    );
    await startFleet(2);
    const {platform} = fixture;
    platform.hasDeadWatches = true;
    const {watches} = platform.calls;
    await fixture.waitUntil(
      () => platform.calls.watches > watches,
      'a watch that gets no answer',
    );
    const publishedAtMs = performance.now();
    platform.publishDeployment({
      ...sampleDeployment,
      version: 2,
      customers: [{name: 'museum', keys: ['k2']}],
    });
    for (const router of fixture.routers) {
      await fixture.waitUntil(
        async () => (await fixture.call(router, '/status/1')).status === 401,
        'revoked key refused',
      );
    }
    const ms = performance.now() - publishedAtMs;
    expect(ms).to.be.lessThan(contactBoundMs - failedReadMs);
  });

  // Guards against routers that wait for each other after a restart: after all
  // processes were killed, this made them reject callers for another 0.5 s.
  it('should happen at once when a router restarts', async () => {
    await fixture.addBackend((socket, request) =>
      socket.write(formatBackendAnswer(request, 'ok')),
    );
    const seed = await fixture.addRouter();
    await seed.daemon.stopNow();
    const startedAtMs = performance.now();
    const router = await fixture.addRouter({isFirstStart: false});
    await fixture.waitReady(router);
    expect(performance.now() - startedAtMs).to.be.lessThan(400);
  });

  it('should pass deployments and servers on to a router that the platform turns away', async () => {
    const leaving = await fixture.addBackend((socket, request) =>
      socket.write(formatBackendAnswer(request, 'first')),
    );
    await startFleet(3, true);
    const unreachableRouter = fixture.routers[2];
    await fixture.addBackend((socket, request) =>
      socket.write(formatBackendAnswer(request, 'second')),
    );
    const [first, second] = fixture.platform.servers;
    const draining = {...first, state: ServerState.Draining};
    fixture.platform.publishServers([draining, second]);
    await fixture.waitUntil(async () => {
      const answer = await fixture.call(unreachableRouter, '/status/1');
      return answer.body === 'second';
    }, 'an answer of the second server');
    const count = leaving.requests.length;
    await fixture.call(unreachableRouter, '/status/1');
    expect(leaving.requests).to.have.length(count);

    const customers = [{name: 'museum', keys: ['k2']}];
    fixture.platform.publishDeployment({
      ...sampleDeployment,
      version: 2,
      customers,
    });
    await fixture.waitUntil(async () => {
      const answer = await fixture.call(unreachableRouter, '/status/1');
      return answer.status === 401;
    }, 'revoked key refused');
  });
});
