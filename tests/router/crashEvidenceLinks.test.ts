import {expect} from 'chai';
import {computeRequestKey} from '../../src/router/requestKey.js';
import {
  SimulatedRouters,
  type SimulatedRouter,
} from '../support/simulatedRouters.js';

const zones = ['za', 'zb', 'zc', 'zd'];
/** Routers with slow links in a zone, besides two with fast ones. */
const slowPerZone = 6;
/** The same in a fleet without fast links. */
const crowdPerZone = 14;
const fastMbps = 200;
const slowMbps = 10;
/** Time until a starting fleet has settled, in milliseconds. */
const settleMs = 12_000;
/** More than the crashes that routers remember. */
const crashCount = 1_200;
/** Crashes of 3 s in that fleet. */
const crowdCrashCount = 300;
/** Largest time from a change of published state to its adoption by all. */
const maxPropagationMs = 2_000;
/** Largest part of a link that reports may take in any second. */
const maxLinkShare = 0.5;

describe('reports while the evidence of crashes is full', function () {
  this.timeout(120_000);
  let network: SimulatedRouters;
  let routers: SimulatedRouter[];
  let crashes: number;

  afterEach(() => network.end());

  /** @param links - bandwidth of the links of the routers in each zone */
  async function startFleet(links: readonly number[]): Promise<void> {
    const formatHost = (zone: number, index: number) =>
      `10.${zone}.0.${index + 1}`;
    network = new SimulatedRouters(zones.map((_, zone) => formatHost(zone, 0)));
    for (const [zone, name] of zones.entries()) {
      for (const [index, linkMbps] of links.entries()) {
        network.start({host: formatHost(zone, index), zone: name, linkMbps});
      }
    }
    await network.advance(settleMs);
    routers = [...network.routers.values()];
    for (const router of routers) router.mostBytesPerSecond = 0;
    crashes = 0;
  }

  /** Lets servers crash under prompts of which each has parts of its own. */
  function recordCrashes(count: number): void {
    const active = routers.filter(({isOffered}) => isOffered);
    for (let i = 0; i < count; i++) {
      crashes += 1;
      const path = `/ask/${crashes}`;
      const request = computeRequestKey(path, undefined, Buffer.alloc(0));
      const parts = [crashes % 4, 1_000_000 + (crashes % 300)];
      const {quarantine} = active[crashes % active.length];
      quarantine.recordCrash({parts, request, server: crashes % 95});
    }
  }

  async function listOutdated(): Promise<string[]> {
    routers.find(({exchange}) => exchange.isRelay)!.adopt(2);
    await network.advance(maxPropagationMs);
    const outdated = routers.filter(({revision}) => revision < 2);
    return outdated.map(({options}) => options.host);
  }

  // Guards against a fleet without news: reports with the evidence of 1,000
  // crashes were longer than a datagram, so that members heard nothing of their
  // relays and replaced them again and again.
  it('should reach all routers, and take a part of their links', async () => {
    const slow = new Array<number>(slowPerZone).fill(slowMbps);
    await startFleet([fastMbps, fastMbps, ...slow]);
    while (crashes < crashCount) {
      recordCrashes(20);
      await network.advance(100);
    }
    const rejected = routers.map(router => router.rejectedDatagrams);
    expect(Math.max(...rejected), 'datagrams that are too long').to.equal(0);
    expect(await listOutdated()).to.deep.equal([]);
    for (const {options, mostBytesPerSecond} of routers) {
      const share = (mostBytesPerSecond * 8) / (options.linkMbps * 1_000_000);
      expect(share, `link of ${options.host}`).to.be.lessThan(maxLinkShare);
    }
  });

  // Guards against relays that report at each crash, whatever their link bears:
  // reports waited in it for more than a second, and most of the fleet missed a
  // new version.
  it('should reach all routers when none has a fast link', async () => {
    await startFleet(new Array<number>(crowdPerZone).fill(slowMbps));
    while (crashes < crowdCrashCount) {
      recordCrashes(1);
      await network.advance(10);
    }
    expect(await listOutdated()).to.deep.equal([]);
  });
});
