import {expect} from 'chai';
import {answerTo, RouterFixture, sampleDeployment} from './routerFixture.js';

/** Longer than the bound after which state of a peer is old. */
const staleMs = 2_500;

describe('start of a router beside one that is cut off', () => {
  let fixture: RouterFixture;

  beforeEach(async () => {
    fixture = new RouterFixture();
    await fixture.addBackend((socket, request) =>
      socket.write(answerTo(request, 'ok')),
    );
    await fixture.waitReady(await fixture.addRouter());
    fixture.platform.turnedAway.add('vm-1');
    // A watch that waits already would still tell of the change.
    await new Promise(resolve => setTimeout(resolve, staleMs));
    fixture.platform.publishDeployment({
      ...sampleDeployment,
      version: 2,
      customers: [{name: 'museum', keys: ['k2']}],
    });
  });

  afterEach(() => fixture.stop());

  // The only router that it hears of still has the key that was withdrawn.
  it('should not accept a key that was withdrawn before the start', async () => {
    const router = await fixture.addRouter();
    const startedAtMs = performance.now();
    const statuses = new Set<number>();
    while (performance.now() - startedAtMs < 1_500) {
      statuses.add((await fixture.call(router, '/status/1')).status);
    }
    expect([...statuses]).to.have.members([503, 401]);
    const headers = {'x-key': 'k2'};
    const answer = await fixture.call(router, '/status/1', {headers});
    expect(answer.status).to.equal(200);
  });

  it('should serve what that one has while the platform turns both away', async () => {
    const router = await fixture.addRouter({isTurnedAway: true});
    await fixture.waitReady(router);
    expect((await fixture.call(router, '/status/1')).status).to.equal(200);
  });
});
