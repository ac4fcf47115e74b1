import {expect} from 'chai';
import {
  formatBackendAnswer,
  RouterFixture,
  type RunningRouter,
} from './routerFixture.js';

interface Dump {
  readonly status: string;
  readonly datagrams: {sent: number; sentBytes: number};
}

function dump({daemon}: RunningRouter): Dump {
  return daemon.describe() as Dump;
}

/**
 * Bandwidths in Mbit/s of large and small VMs, as in a fleet with one tenth of
 * large VMs.
 */
const fastMbps = 200;
const slowMbps = 20;

describe('routers that callers are not sent to', () => {
  let fixture: RouterFixture;
  let fast: RunningRouter[];
  let slow: RunningRouter[];

  beforeEach(async () => {
    fixture = new RouterFixture();
    await fixture.addBackend((socket, request) =>
      socket.write(formatBackendAnswer(request, 'ok')),
    );
    for (const linkMbps of [fastMbps, fastMbps, slowMbps, slowMbps]) {
      await fixture.addRouter({linkMbps});
    }
    [fast, slow] = [fixture.routers.slice(0, 2), fixture.routers.slice(2)];
    await fixture.waitUntil(
      () => slow.every(router => dump(router).status === 'Resting'),
      'routers with slow links rest',
    );
  });

  afterEach(() => fixture.stop());

  it('should be ready, serve what comes and give the addresses of the others', async () => {
    for (const router of slow) {
      await fixture.waitReady(router);
      const answer = await fixture.call(router, '/status/1');
      expect(answer.body).to.equal('ok');
      const {body} = await fixture.get(router.addresses, '/addresses?zone=a');
      for (const {callers} of fast) expect(body).to.contain(callers);
      for (const {callers} of slow) expect(body).not.to.contain(callers);
    }
  });

  it('should hear of a new deployment', async () => {
    const {deployment} = fixture.platform;
    const version = deployment!.version + 1;
    fixture.platform.publishDeployment({
      ...deployment!,
      version,
      customers: [{name: 'museum', keys: ['k2']}],
    });
    for (const router of slow) {
      await fixture.waitUntil(
        async () => (await fixture.call(router, '/status/1')).status === 401,
        'revoked key refused',
      );
    }
  });

  // Guards against routers that stay resting when all VMs with fast links are
  // lost.
  it('should wake when the others end', async () => {
    for (const {daemon} of fast) await daemon.stopNow();
    await fixture.waitUntil(
      () => slow.every(router => dump(router).status === 'Ready'),
      'routers with slow links take over',
    );
    // The one that has woken first was alone beside a fast one for a moment, and
    // still gives the address of that one.
    const expected = slow.map(({callers}) => callers).sort();
    await fixture.waitUntil(async () => {
      const {body} = await fixture.get(slow[0].addresses, '/addresses?zone=a');
      const addresses = JSON.parse(body) as string[];
      return addresses.sort().join() === expected.join();
    }, 'callers are given the routers with slow links only');
  });
});
