import {expect} from 'chai';
import {RouterStatus} from '../../src/router/peerReport.js';
import {SimulatedRouters} from '../support/simulatedRouters.js';

const zone = 'za';
const fastHosts = ['10.0.0.1', '10.0.0.2'];
const slowCount = 24;
/** Demand of all callers, in thousandths of a core. */
const milliCores = 480;
const stepMs = 500;

describe('addresses in a fleet with relays', function () {
  this.timeout(60_000);
  let network: SimulatedRouters;

  beforeEach(async () => {
    network = new SimulatedRouters([fastHosts[0]]);
    for (const host of fastHosts) {
      network.start({host, zone, linkMbps: 140, processorShare: 0.675});
    }
    for (let i = 0; i < slowCount; i++) {
      const host = `10.0.1.${i + 1}`;
      network.start({host, zone, linkMbps: 7, processorShare: 0.227});
    }
    await advance(15_000);
  });

  afterEach(() => network.end());

  /** Spreads the demand over the routers to which callers are sent. */
  async function advance(ms: number): Promise<void> {
    for (let passedMs = 0; passedMs < ms; passedMs += stepMs) {
      const routers = [...network.routers.values()];
      const ready = routers.filter(({status}) => status === RouterStatus.Ready);
      for (const router of routers) {
        const part = ready.includes(router) ? 1 / ready.length : 0;
        router.demand = {kbps: 2_000 * part, milliCores: milliCores * part};
      }
      await network.advance(stepMs);
    }
  }

  /** Expects that all routers give the same addresses, and returns these. */
  function expectSameLists(): string[] {
    const lists = [...network.routers.values()].map(({callerAddresses}) =>
      callerAddresses.list(zone),
    );
    for (const list of lists) expect(list).to.deep.equal(lists[0]);
    return lists[0];
  }

  // Guards against all slow routers being offered after the loss of one fast
  // router, and against resting routers that don't hear of the demand. One of the
  // fast routers is the relay, so both cases are run.
  for (const [index, lost] of fastHosts.entries()) {
    it(`should be a few more after the sudden loss of fast router ${index}`, async () => {
      const addresses = fastHosts.map(host => `${host}:80`);
      expect(expectSameLists()).to.have.members(addresses);
      network.stop(lost);
      await advance(4_000);
      const most = Math.max(
        ...[...network.routers.values()].map(
          ({callerAddresses}) => callerAddresses.list(zone).length,
        ),
      );
      expect(most).to.be.within(3, 6);
      await advance(16_000);
      const left = expectSameLists();
      expect(left)
        .to.include(addresses[1 - index])
        .and.have.length(3);
    });
  }

  // Guards against callers that are left without addresses.
  it('should be all others after the sudden loss of both fast routers', async () => {
    for (const host of fastHosts) network.stop(host);
    await advance(8_000);
    expect(expectSameLists()).to.have.length(slowCount);
  });
});
