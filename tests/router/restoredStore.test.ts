import {expect} from 'chai';
import {waitFor} from '../../src/node/delay.js';
import {ServerState, type BackendServer} from '../../src/router/deployment.js';
import {
  formatBackendAnswer,
  RouterFixture,
  sampleDeployment,
} from './routerFixture.js';

const routerCount = 4;
/** `leaveBoundMs` of the fixture's routers. */
const leaveBoundMs = 2_000;
/** A store that answers without trouble gets this many reads in 3 s. */
const maxReads = 6;
const periodMs = 3_000;
/** Writes by servers that the old copy doesn't have. */
const heartbeats = 10_000;

describe('a platform that is restored from an old copy', () => {
  let fixture: RouterFixture;
  /** Numbers of the servers that requests have reached. */
  let reached: number[];

  beforeEach(async () => {
    fixture = new RouterFixture();
    reached = [];
    for (let number = 1; number <= 2; number++) {
      await fixture.addBackend((socket, request) => {
        reached.push(number);
        socket.write(formatBackendAnswer(request, 'ok'));
      });
    }
    for (let i = 0; i < routerCount; i++) await fixture.addRouter();
    for (const router of fixture.routers) await fixture.waitReady(router);
    fixture.platform.writeHeartbeats(heartbeats);
    await waitFor(leaveBoundMs);
  });

  afterEach(() => fixture.stop());

  async function callAll(): Promise<void> {
    for (const router of fixture.routers) {
      for (let i = 0; i < 4; i++) await fixture.call(router, `/status/${i}`);
    }
  }

  function setState(state: ServerState): BackendServer[] {
    const [first, second] = fixture.platform.servers;
    return [first, {...second, state}];
  }

  function resetStore(servers = fixture.platform.servers): void {
    fixture.platform.resetTo({servers, deployment: sampleDeployment});
  }

  // Guards against a call to the platform every 5 ms by every router: no view
  // counted as fresh because its revision was lower than that of the last one.
  it('should be called as often as before', async () => {
    resetStore();
    const {platform} = fixture;
    const before = {...platform.calls, serverReads: platform.serverReads};
    await waitFor(periodMs);
    const reads = platform.serverReads - before.serverReads;
    expect(reads).to.be.within(3, maxReads);
    expect(platform.calls.watches - before.watches).to.be.within(1, maxReads);
  });

  // Guards against requests to servers that have left since the restore, and
  // to those that had left before and are listed by the old copy (DRAIN).
  it('should not bring servers back that had left, nor hide those that leave', async () => {
    const {platform} = fixture;
    const old = platform.servers;
    platform.publishServers(setState(ServerState.Draining));
    await waitFor(leaveBoundMs);
    resetStore(old);
    await waitFor(1_000);
    reached = [];
    await callAll();
    expect(reached).not.to.include(2);
    // The server writes again that it is leaving.
    platform.publishServers(setState(ServerState.Draining));
    await waitFor(leaveBoundMs);
    platform.publishServers(setState(ServerState.Draining).slice(1));
    await waitFor(2 * leaveBoundMs);
    reached = [];
    const {status} = await fixture.call(fixture.routers[0], '/status/1');
    expect(status).to.equal(503);
    expect(reached).to.deep.equal([]);
  });

  // Guards against losing sound servers that the old copy doesn't list yet.
  it('should keep servers until they have registered again', async () => {
    const {platform} = fixture;
    const all = platform.servers;
    resetStore(all.slice(0, 1));
    await waitFor(1_500);
    platform.publishServers(all);
    await waitFor(leaveBoundMs);
    reached = [];
    await callAll();
    expect(reached).to.include(2);
  });

  // Guards against a change that is never seen because the revisions have
  // passed the one that the watch waits for (CONFIG).
  it('should show newer deployments in time', async () => {
    const {platform} = fixture;
    resetStore();
    platform.writeHeartbeats(2 * heartbeats);
    await waitFor(leaveBoundMs);
    platform.publishDeployment({
      ...sampleDeployment,
      version: 2,
      customers: [{name: 'museum', keys: ['k2']}],
    });
    await waitFor(leaveBoundMs);
    for (const router of fixture.routers) {
      expect((await fixture.call(router, '/status/1')).status).to.equal(401);
    }
  });

  // Guards against a router that takes back a revoked key because it starts just
  // after the restore and reads the old deployment.
  it('should not give revoked keys back to a router that starts', async () => {
    const {platform} = fixture;
    platform.publishDeployment({
      ...sampleDeployment,
      version: 2,
      customers: [{name: 'museum', keys: ['k2']}],
    });
    await waitFor(leaveBoundMs);
    resetStore();
    const late = await fixture.addRouter({isFirstStart: false});
    await fixture.waitReady(late);
    expect((await fixture.call(late, '/status/1')).status).to.equal(401);
  });
});
