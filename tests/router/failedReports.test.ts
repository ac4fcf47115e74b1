import {expect} from 'chai';
import {CrashQuarantine} from '../../src/router/crashQuarantine.js';
import {
  formatBackendAnswer,
  RouterFixture,
  type RunningRouter,
} from './routerFixture.js';

/** Longer than reports repeat evidence. */
const faultMs = 2_200;
/** More than one interval of the reports of an idle router. */
const maxSilenceMs = 600;

describe('routers whose reports fail', () => {
  const {listEvidence} = CrashQuarantine.prototype;
  let fixture: RouterFixture;

  beforeEach(() => {
    fixture = new RouterFixture();
  });

  afterEach(() => {
    CrashQuarantine.prototype.listEvidence = listEvidence;
    return fixture.stop();
  });

  function listPeers({daemon}: RunningRouter) {
    return (daemon.describe() as {peers: Array<{heardAgoMs: number}>}).peers;
  }

  // Guards against routers that stay silent for seconds after a fault in the
  // evidence that they report, because the task that reports is restarted later
  // each time.
  it('should go on serving, and report as soon as they can', async () => {
    await fixture.addBackend((socket, request) =>
      socket.write(formatBackendAnswer(request, 'ok')),
    );
    const routers = [await fixture.addRouter(), await fixture.addRouter()];
    for (const router of routers) await fixture.waitReady(router);
    const haveMet = () => routers.every(router => listPeers(router).length > 0);
    await fixture.waitUntil(haveMet, 'routers know each other');
    CrashQuarantine.prototype.listEvidence = () => {
      throw new TypeError('evidence contradicts itself');
    };
    await new Promise(resolve => setTimeout(resolve, faultMs));
    expect((await fixture.call(routers[0], '/status/1')).status).to.equal(200);
    CrashQuarantine.prototype.listEvidence = listEvidence;
    await new Promise(resolve => setTimeout(resolve, maxSilenceMs));
    for (const router of routers) {
      const [peer] = listPeers(router);
      expect(peer.heardAgoMs).to.be.below(maxSilenceMs);
    }
  });
});
