import {expect} from 'chai';
import {computeRequestKey} from '../../src/router/requestKey.js';
import {
  SimulatedRouters,
  type SimulatedRouter,
} from '../support/simulatedRouters.js';

const zones = ['za', 'zb', 'zc', 'zd'];
const fastPerZone = 2;
const slowPerZone = 6;
const fastMbps = 200;
const slowMbps = 10;
/** Time until a starting fleet has settled, in milliseconds. */
const settleMs = 12_000;
const stepMs = 100;
/** More than the crashes that routers remember. */
const crashCount = 1_200;
const crashesPerStep = 20;
/** Largest time from a change of published state to its adoption by all. */
const maxPropagationMs = 2_000;
/** Largest part of a link that reports may take in any second. */
const maxLinkShare = 0.5;

describe('reports while the evidence of crashes is full', function () {
  this.timeout(120_000);
  let network: SimulatedRouters;
  let routers: SimulatedRouter[];
  let crashes = 0;

  beforeEach(async () => {
    const formatHost = (zone: number, index: number) =>
      `10.${zone}.0.${index + 1}`;
    network = new SimulatedRouters(zones.map((_, zone) => formatHost(zone, 0)));
    for (const [zone, name] of zones.entries()) {
      for (let i = 0; i < fastPerZone + slowPerZone; i++) {
        const linkMbps = i < fastPerZone ? fastMbps : slowMbps;
        network.start({host: formatHost(zone, i), zone: name, linkMbps});
      }
    }
    await network.advance(settleMs);
    routers = [...network.routers.values()];
    for (const router of routers) router.mostBytesPerSecond = 0;
  });

  afterEach(() => network.end());

  /** Lets servers crash under prompts of which each has a part of its own. */
  function recordCrashes(): void {
    const fast = routers.filter(({options}) => options.linkMbps === fastMbps);
    for (let i = 0; i < crashesPerStep; i++) {
      crashes += 1;
      const path = `/ask/${crashes}`;
      const request = computeRequestKey(path, undefined, Buffer.alloc(0));
      const parts = [crashes % 4, 1_000_000 + (crashes % 300)];
      const {quarantine} = fast[crashes % fast.length];
      quarantine.recordCrash({parts, request, server: crashes % 95});
    }
  }

  // Guards against a fleet without news: reports with the evidence of 1,000
  // crashes were longer than a datagram, so that members heard nothing of their
  // relays and replaced them again and again.
  it('should reach all routers, and take a part of their links', async () => {
    while (crashes < crashCount) {
      recordCrashes();
      await network.advance(stepMs);
    }
    const rejected = routers.map(router => router.rejectedDatagrams);
    expect(Math.max(...rejected), 'datagrams that are too long').to.equal(0);
    const reader = routers.find(({exchange}) => exchange.isRelay)!;
    reader.adopt(2);
    await network.advance(maxPropagationMs);
    const outdated = routers.filter(({revision}) => revision < 2);
    expect(outdated.map(({options}) => options.host)).to.deep.equal([]);
    for (const {options, mostBytesPerSecond} of routers) {
      const share = (mostBytesPerSecond * 8) / (options.linkMbps * 1_000_000);
      expect(share, `link of ${options.host}`).to.be.lessThan(maxLinkShare);
    }
  });
});
