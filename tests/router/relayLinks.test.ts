import {expect} from 'chai';
import fc from 'fast-check';
import {RouterStatus} from '../../src/router/peerReport.js';
import {createPropertyOptions} from '../support/properties.js';
import {
  SimulatedRouters,
  type SimulatedRouter,
} from '../support/simulatedRouters.js';

const zones = ['za', 'zb', 'zc', 'zd'];
const fastPerZone = 2;
const slowPerZone = 33;
const fastMbps = 140;
const slowMbps = 7;
/**
 * Slow routers of a zone in the random schedules, few because these run long.
 * The fleet is still large enough for relays.
 */
const fewSlowPerZone = 6;
/**
 * Time until a starting fleet has settled, in milliseconds: until resting
 * routers have forgotten those of other zones, of which the seeds told them.
 */
const settleMs = 12_000;
/** Largest part of a link that reports may take in any second. */
const maxLinkShare = 0.25;
/** Between the two leaves of a zone's fast routers, in milliseconds. */
const betweenLeavesMs = 400;
/** Time that a leaving router still sends reports, in milliseconds. */
const leaveMs = 2_800;
/** Time until ended routers are no longer known as alive, in milliseconds. */
const afterLeaveMs = 3_000;
/**
 * Longest time in which a change reaches all routers of a fleet whose relays
 * have slow links, in milliseconds. A third of the bound of a deployment.
 */
const slowPropagationMs = 1_000;
/** Longest time that a report may wait for a link, in milliseconds. */
const maxLinkWaitMs = 150;
/** Time until fast routers that have returned relay again, in milliseconds. */
const fastReturnMs = 12_000;

function formatHost(zone: number, index: number): string {
  return `10.${zone}.0.${index + 1}`;
}

/** A router that ends, or starts again if it has ended. */
interface Change {
  readonly zone: number;
  readonly index: number;
  readonly isSudden: boolean;
  readonly waitMs: number;
}

/** Largest share of its link that a router used in any second. */
function measureLinkShare(router: SimulatedRouter): number {
  const bits = router.mostBytesPerSecond * 8;
  return bits / (router.options.linkMbps * 1_000_000);
}

describe('links of relays', function () {
  this.timeout(120_000);
  let network: SimulatedRouters;

  /** Starts the fleet and waits until all routers have settled. */
  async function startFleet(slow = slowPerZone): Promise<void> {
    const seeds = zones.map((_, zone) => formatHost(zone, 0));
    network = new SimulatedRouters(seeds);
    for (const [zone] of zones.entries()) {
      for (let i = 0; i < fastPerZone + slow; i++) {
        startRouter(zone, i, i < fastPerZone ? fastMbps : slowMbps);
      }
    }
    await network.advance(settleMs);
    for (const router of network.routers.values())
      router.mostBytesPerSecond = 0;
  }

  function startRouter(zone: number, index: number, linkMbps: number) {
    const host = formatHost(zone, index);
    return network.start({host, zone: zones[zone], linkMbps});
  }

  /** Lets the fast routers of zones leave, as planned restarts do. */
  async function leaveFast(...leaving: number[]): Promise<void> {
    for (let i = 0; i < fastPerZone; i++) {
      for (const zone of leaving) network.leave(formatHost(zone, i));
      await network.advance(betweenLeavesMs);
    }
    await advanceWithoutLoss(leaveMs - betweenLeavesMs);
    for (const zone of leaving) {
      for (let i = 0; i < fastPerZone; i++) network.stop(formatHost(zone, i));
    }
  }

  function startFast(...zonesBack: number[]): void {
    for (const zone of zonesBack) {
      for (let i = 0; i < fastPerZone; i++) startRouter(zone, i, fastMbps);
    }
  }

  function expectLinksBelow(share: number): void {
    for (const router of network.routers.values()) {
      const {host, linkMbps} = router.options;
      const name = `${host} of ${linkMbps} Mbit/s`;
      expect(measureLinkShare(router), name).to.be.lessThan(share);
    }
  }

  /**
   * Advances the clock; fails if a router that takes requests loses another
   * live router. Resting ones know only those in their own zone and those that
   * take requests.
   */
  async function advanceWithoutLoss(ms: number): Promise<void> {
    const startedAtMs = performance.now();
    const before = new Map<string, Set<string>>();
    while (performance.now() - startedAtMs < ms) {
      await network.advance(100);
      const active = [...network.routers.values()].filter(
        ({status}) => status !== RouterStatus.Resting,
      );
      for (const {fleet, options} of active) {
        const alive = new Set(fleet.listAlive().map(({host}) => host));
        const lost = [...(before.get(options.host) ?? [])].filter(
          host => network.routers.has(host) && !alive.has(host),
        );
        const ms = Math.round(performance.now() - startedAtMs);
        expect(lost, `lost at ${options.host}, ${ms} ms`).to.deep.equal([]);
        before.set(options.host, alive);
      }
    }
  }

  /** Publishes a revision at one router; returns how long it takes to all. */
  async function measurePropagationMs(): Promise<number> {
    const routers = [...network.routers.values()];
    const reader = routers.find(({exchange}) => exchange.isRelay)!;
    const revision = reader.revision + 1;
    reader.adopt(revision);
    let passedMs = 0;
    while (routers.some(router => router.revision < revision)) {
      expect(passedMs, 'propagation').to.be.lessThan(3_000);
      await network.advance(20);
      passedMs += 20;
    }
    return passedMs;
  }

  /**
   * Expects that each router that takes requests counts the load of all live
   * ones exactly once.
   */
  function expectExactCounts(): void {
    const count = network.routers.size;
    for (const router of network.routers.values()) {
      if (router.status === RouterStatus.Resting) continue;
      const {host} = router.options;
      expect(router.countedRouters, `counted at ${host}`).to.equal(count);
    }
  }

  function listStatuses(zone: number): RouterStatus[] {
    return [...network.routers.values()]
      .filter(({options}) => options.zone === zones[zone])
      .map(({status}) => status);
  }

  function isFast({options}: SimulatedRouter): boolean {
    return options.linkMbps === fastMbps;
  }

  /** Expects that callers are sent to the routers with fast links only. */
  function expectOnlyFastActive(): void {
    for (const router of network.routers.values()) {
      const expected = isFast(router)
        ? RouterStatus.Ready
        : RouterStatus.Resting;
      expect(router.status, router.options.host).to.equal(expected);
    }
  }

  function listRelays(): SimulatedRouter[] {
    return [...network.routers.values()].filter(
      ({exchange}) => exchange.isRelay,
    );
  }

  /** Expects that all routers that get loads know the same relays. */
  function expectSameRelays(): void {
    const relays = listRelays().map(({options}) => options.host);
    for (const {fleet, options, status} of network.routers.values()) {
      if (status === RouterStatus.Resting) continue;
      const others = relays.filter(host => host !== options.host);
      const known = fleet.listRelays();
      expect(known, `relays at ${options.host}`).to.have.members(others);
    }
  }

  /** Ends a running router, or starts one that has ended. */
  async function applyChange({zone, index, isSudden}: Change): Promise<void> {
    const host = formatHost(zone, index);
    const router = network.routers.get(host);
    if (!router || router.isLeaving) {
      network.stop(host);
      startRouter(zone, index, index < fastPerZone ? fastMbps : slowMbps);
    } else if (isSudden) {
      network.stop(host);
    } else {
      network.leave(host);
      await network.advance(betweenLeavesMs);
    }
  }

  afterEach(() => network.end());

  // Guards against a router with a slow link that has to send the loads to some
  // 33 members once both fast routers of its zone have left: 3 to 5 times what
  // its link bears, so that requests and aborts arrived seconds late.
  it('should be fast ones of another zone while a zone has none', async () => {
    await startFleet();
    expectExactCounts();
    const usualMs = await measurePropagationMs();
    await leaveFast(1);
    await advanceWithoutLoss(afterLeaveMs);
    expect(listStatuses(1)).not.to.include(RouterStatus.Resting);
    expect(await measurePropagationMs()).to.be.at.most(usualMs + 100);
    expectLinksBelow(maxLinkShare);
    expect(listRelays().every(isFast)).to.equal(true);
    expectExactCounts();
    startFast(1);
    await advanceWithoutLoss(4_000);
    expectExactCounts();
  });

  // Guards against the same when two zones lose their fast routers at once,
  // whose members may then report to the same relay.
  it('should be fast ones while two zones have none', async () => {
    await startFleet();
    await leaveFast(1, 2);
    await advanceWithoutLoss(afterLeaveMs);
    expectLinksBelow(maxLinkShare);
    expectExactCounts();
    expect(listRelays().every(isFast)).to.equal(true);
    startFast(1, 2);
    await advanceWithoutLoss(4_000);
    expectExactCounts();
    expect(listRelays()).to.have.length(zones.length);
    expectLinksBelow(maxLinkShare);
  });

  // Guards against relays with slow links that fill their own links for seconds
  // once no router with a fast link is left: they sent three times what the link
  // bears, members took their silence for a failure and relayed themselves, and
  // a new deployment came up to eight seconds late. Also guards against fast
  // routers that return together and know only each other, so that callers stay
  // with the slow ones.
  it('should leave room on slow links while no fast ones are left', async () => {
    await startFleet();
    const all = [...zones.keys()];
    for (let i = 0; i < fastPerZone; i++) {
      for (const zone of all) network.leave(formatHost(zone, i));
      await network.advance(betweenLeavesMs);
    }
    await network.advance(leaveMs);
    for (const zone of all) {
      for (let i = 0; i < fastPerZone; i++) network.stop(formatHost(zone, i));
    }
    await network.advance(afterLeaveMs);
    expect(listRelays().length).to.be.at.most(zones.length + 1);
    expect(await measurePropagationMs()).to.be.at.most(slowPropagationMs);
    startFast(...all);
    await network.advance(fastReturnMs);
    expect(listRelays().every(isFast)).to.equal(true);
    expectExactCounts();
    expectOnlyFastActive();
    for (const {longestLinkWaitMs, options} of network.routers.values()) {
      expect(longestLinkWaitMs, options.host).to.be.at.most(maxLinkWaitMs);
    }
  });

  // Guards against members that are lost, or counted twice, when their relay
  // changes twice within a second.
  it('should keep all members when a fast router returns and leaves at once', async () => {
    await startFleet();
    await leaveFast(1);
    await advanceWithoutLoss(afterLeaveMs);
    startRouter(1, 0, fastMbps);
    await advanceWithoutLoss(600);
    network.leave(formatHost(1, 0));
    await advanceWithoutLoss(leaveMs);
    network.stop(formatHost(1, 0));
    await advanceWithoutLoss(4_000);
    expectLinksBelow(maxLinkShare);
    expectExactCounts();
    expect(listRelays().every(isFast)).to.equal(true);
  });

  // Guards against members that stay with different relays, or that are counted
  // twice or never, after any sequence of leaves, losses and returns.
  it('should be agreed on and count each router once after random changes', async () => {
    const changes = fc.array(
      fc.record({
        zone: fc.nat(zones.length - 1),
        index: fc.nat(fastPerZone),
        isSudden: fc.boolean(),
        waitMs: fc.integer({min: 0, max: 1_500}),
      }),
      {minLength: 4, maxLength: 10},
    );
    const check = async (schedule: Change[]) => {
      await startFleet(fewSlowPerZone);
      for (const change of schedule) {
        await applyChange(change);
        await network.advance(change.waitMs);
      }
      await network.advance(leaveMs);
      for (const [host, {isLeaving}] of network.routers) {
        if (isLeaving) network.stop(host);
      }
      await network.advance(8_000);
      expectExactCounts();
      expectSameRelays();
      await network.end();
    };
    await fc.assert(fc.asyncProperty(changes, check), createPropertyOptions(3));
  });
});
