import {expect} from 'chai';
import fc from 'fast-check';
import type {DaemonNode} from '../../src/node/daemonNode.js';
import {sortByWeight} from '../../src/node/rendezvous.js';
import {createDocument} from '../support/configurations.js';
import {createPropertyOptions} from '../support/properties.js';
import {SimulatedFleet} from '../support/simulatedFleet.js';
import {PlatformFault} from '../support/simulatedPlatform.js';

const boundMs = 5_000;
const zones = ['za', 'zb', 'zc'];

function holdNumber(nodes: readonly DaemonNode[], number: number): boolean {
  return nodes.every(node => node.config.getNumberInForce() >= number);
}

describe('configuration propagation', () => {
  let fleet: SimulatedFleet;

  async function startFleet(count: number): Promise<DaemonNode[]> {
    const nodes = fleet.startAll(count);
    await fleet.advanceUntil(() => nodes.every(node => node.isReady()), 10_000);
    await fleet.advance(15_000);
    return nodes;
  }

  /** Accepts a change and returns the time until it is in force everywhere. */
  async function measureSpread(nodes: DaemonNode[]): Promise<number> {
    const {number} = fleet.platform.history.append();
    return fleet.advanceUntil(() => holdNumber(nodes, number), boundMs);
  }

  function listWatchers(nodes: DaemonNode[]): DaemonNode[] {
    return nodes.filter(node => node.configFollower.isWatcher());
  }

  beforeEach(() => {
    fleet = new SimulatedFleet(zones);
  });

  afterEach(() => fleet.stop());

  // Guards against changes that reach some members only, and against calls to
  // the service that grow with the fleet.
  it('should spread a change within the bound at a fixed cost', async () => {
    const nodes = await startFleet(12);
    expect(listWatchers(nodes)).to.have.length(6);
    const before = fleet.platform.configCalls;
    const startedAtMs = performance.now();
    for (let i = 0; i < 10; i++) {
      expect(await measureSpread(nodes)).to.be.lessThan(boundMs / 2);
      await fleet.advance(1_000);
    }
    const calls = fleet.platform.configCalls - before;
    const seconds = (performance.now() - startedAtMs) / 1_000;
    // Six watches of 1.5 s each, and backstop reads of 12 members in 30 s.
    const idleCalls = seconds * (6 / 1.5 + 12 / 30);
    expect((calls - idleCalls) / 10).to.be.at.most(12);
  });

  // Guards against a fleet that depends on the watchers' path to the service.
  for (const fault of [PlatformFault.Down, PlatformFault.Silent]) {
    it(`should spread what one member can read (others: ${fault})`, async () => {
      const nodes = await startFleet(12);
      const able = nodes.find(node => !node.configFollower.isWatcher());
      for (const {settings} of nodes) {
        if (settings.address === able?.settings.address) continue;
        fleet.platform.faults.set(settings.address, fault);
      }
      expect(await measureSpread(nodes)).to.be.at.most(boundMs);
      await fleet.advance(20_000);
      expect(await measureSpread(nodes)).to.be.at.most(boundMs);
    });
  }

  // Guards against the last of many members being asked too late; with few
  // members no backstop read shows the fault earlier.
  for (const count of [4, 7, 22]) {
    it(`should find the one of ${count} members that can read`, async () => {
      for (const seed of [1, 2, 3]) {
        await fleet.stop();
        fleet = new SimulatedFleet(['za'], seed);
        const nodes = await startFleet(count);
        const order = sortByWeight(
          'config-watch',
          nodes,
          node => node.membership.getSelf().incarnation,
        );
        for (const {settings} of order.slice(0, -1)) {
          fleet.platform.faults.set(settings.address, PlatformFault.Silent);
        }
        expect(await measureSpread(nodes)).to.be.at.most(boundMs);
      }
    });
  }

  // Guards against changes that wait for the backstop after an outage.
  it('should spread a change right after an outage', async () => {
    const nodes = await startFleet(6);
    for (let outage = 0; outage < 4; outage++) {
      for (const {settings} of nodes) {
        fleet.platform.faults.set(settings.address, PlatformFault.Down);
      }
      await fleet.advance(60_000);
      fleet.platform.faults.clear();
      expect(await measureSpread(nodes)).to.be.at.most(boundMs);
    }
    await fleet.advance(60_000);
    expect(listWatchers(nodes)).to.have.length(6);
  });

  // Guards against a watcher's death that nobody notices until the backstop.
  it('should watch at once after becoming a watcher', async () => {
    const nodes = await startFleet(9);
    const killed = listWatchers(nodes);
    expect(killed).to.have.length(6);
    for (const {settings} of killed) await fleet.kill(settings.address);
    const left = nodes.filter(node => !killed.includes(node));
    await fleet.advanceUntil(() => listWatchers(left).length === 3, 20_000);
    await fleet.advance(1_000);
    expect(await measureSpread(left)).to.be.lessThan(1_000);
  });

  // Guards against a later change that is lost because an earlier one is.
  it('should fetch a change whose broadcast was lost', async () => {
    const nodes = await startFleet(4);
    const others = nodes.slice(1);
    for (const {settings} of nodes) {
      fleet.platform.faults.set(settings.address, PlatformFault.Down);
    }
    await fleet.advance(3_000);
    const {history} = fleet.platform;
    const lost = history.append();
    const next = history.append();
    for (const node of others) node.config.applyChange(lost);
    await others[0].members.handlePush({
      from: 'x',
      items: [{kind: 'configChange' as never, change: next}],
    });
    const takenMs = await fleet.advanceUntil(
      () => holdNumber(nodes, next.number),
      boundMs,
    );
    // Sooner than the next pings show the number.
    expect(takenMs).to.be.lessThan(400);
  });

  // Guards against a change that one member fetched and others never get.
  it('should spread a change that was fetched from a peer', async () => {
    const nodes = await startFleet(8);
    for (const {settings} of nodes) {
      fleet.platform.faults.set(settings.address, PlatformFault.Down);
    }
    await fleet.advance(3_000);
    const change = fleet.platform.history.append();
    nodes[0].config.applyChange(change);
    // One member only hears of it, from a ping.
    const {peerAddress} = nodes[0].membership.getSelf();
    void nodes[1].members.pingAddress(peerAddress);
    const takenMs = await fleet.advanceUntil(
      () => holdNumber(nodes, change.number),
      boundMs,
    );
    expect(takenMs).to.be.lessThan(1_000);
  });

  // Guards against megabytes on every ping.
  it('should spread a large change by its number', async () => {
    const nodes = await startFleet(12);
    const zonesAdded = Object.fromEntries(
      Array.from({length: 200}, (_, i) => [`zone${i}`, {za: i}]),
    );
    const document = createDocument(2);
    const change = fleet.platform.history.append({
      ...document,
      zones: {...document.zones, ...zonesAdded},
    });
    const takenMs = await fleet.advanceUntil(
      () => holdNumber(nodes, change.number),
      boundMs,
    );
    expect(takenMs).to.be.lessThan(600);
    expect(fleet.largestItemBytes).to.be.at.most(1_200);
  });

  // Guards against a restart that goes back to what a stale service shows.
  it('should be ready only with the highest number that is shown', async () => {
    const nodes = await startFleet(4);
    await measureSpread(nodes);
    await measureSpread(nodes);
    await fleet.kill('v4');
    fleet.platform.staleAt = 1;
    const restarted = fleet.start('v4');
    const numbers: number[] = [];
    restarted.config.subscribe(() => {
      if (restarted.isReady()) numbers.push(restarted.config.getHead().number);
    });
    const takenMs = await fleet.advanceUntil(
      () => restarted.isReady(),
      boundMs,
    );
    expect(takenMs).to.be.lessThan(1_000);
    expect(restarted.config.getNumberInForce()).to.equal(3);
  });

  // Guards against a process that serves with nothing, and against one that
  // never serves because one source is silent.
  it('should be ready after 3 s when one source has answered', async () => {
    const [first] = fleet.startAll(1);
    await fleet.advanceUntil(() => first.isReady(), 1_000);
    await fleet.kill('v1');
    fleet.platform.faults.set('v2', PlatformFault.Down);
    const alone = fleet.start('v2');
    await fleet.advance(20_000);
    expect(alone.isReady()).to.equal(false);
    fleet.platform.faults.delete('v2');
    await fleet.advanceUntil(() => alone.isReady(), boundMs);
    // A peer shows a number whose document it doesn't give.
    await measureSpread([alone]);
    fleet.platform.staleAt = 1;
    while (alone.broadcaster.countQueued() > 0) alone.broadcaster.takeItems();
    const refuse = () => Promise.reject(new Error('refused'));
    alone.members.fetchChanges = refuse;
    alone.members.fetchDocument = refuse;
    const behind = fleet.start('v3');
    const takenMs = await fleet.advanceUntil(() => behind.isReady(), 10_000);
    expect(takenMs).to.be.within(2_900, 3_100);
  });

  // Guards against members that go on with what they knew before a pause.
  it('should ask peers again after a pause', async () => {
    const [first] = await startFleet(3);
    expect(first.isReady()).to.equal(true);
    fleet.isLost = () => true;
    fleet.advanceAtOnce(30_000);
    await fleet.advance(100);
    expect(first.isReady()).to.equal(false);
    fleet.isLost = () => false;
    await fleet.advanceUntil(() => first.isReady(), 3_500);
  });

  // Guards against a service under its rate limit that is asked even more.
  it('should call less when the service is busy', async () => {
    const nodes = await startFleet(6);
    for (const {settings} of nodes) {
      fleet.platform.faults.set(settings.address, PlatformFault.Busy);
    }
    const before = fleet.platform.configCalls;
    await fleet.advance(30_000);
    // Six watchers, each waiting 1 to 2 s after a refusal.
    expect(fleet.platform.configCalls - before).to.be.at.most(6 * 31);
    fleet.platform.faults.clear();
    expect(await measureSpread(nodes)).to.be.at.most(boundMs);
  });

  // Guards against a loop of calls to a service that answers with old data.
  it('should not ask a stale service in a loop', async () => {
    const nodes = await startFleet(4);
    for (let i = 0; i < 3; i++) await measureSpread(nodes);
    fleet.platform.staleAt = 2;
    const before = fleet.platform.configCalls;
    await fleet.advance(10_000);
    expect(fleet.platform.configCalls - before).to.be.at.most(4 * 10 + 4);
    expect(holdNumber(nodes, 4)).to.equal(true);
  });
});

describe('configuration under random faults', () => {
  // Guards against interleavings of loss, duplicates, partitions and changes
  // after which members disagree or have gone back.
  it('should never revert and agree once the network works', async function () {
    this.timeout(60_000);
    const plan = fc.array(
      fc.record({
        lossPercent: fc.constantFrom(0, 20, 60),
        cut: fc.constantFrom(0, 1, 2, 3),
        changes: fc.nat({max: 3}),
        forMs: fc.integer({min: 200, max: 6_000}),
      }),
      {minLength: 1, maxLength: 5},
    );
    await fc.assert(
      fc.asyncProperty(plan, fc.nat(), async (phases, seed) => {
        const fleet = new SimulatedFleet(zones, seed);
        try {
          const nodes = fleet.startAll(5);
          const highest = new Map<DaemonNode, number>();
          for (const node of nodes) {
            node.config.subscribe(() => {
              const number = node.config.getNumberInForce();
              expect(number).to.be.greaterThan(highest.get(node) ?? 0);
              highest.set(node, number);
            });
          }
          for (const {lossPercent, cut, changes, forMs} of phases) {
            const side = (vm: string) => Number(vm.slice(1)) <= cut;
            fleet.isLost = (from, to) =>
              side(from) !== side(to) || Math.random() * 100 < lossPercent;
            for (let i = 0; i < changes; i++) fleet.platform.history.append();
            await fleet.advance(forMs);
          }
          fleet.isLost = () => false;
          const {number} = fleet.platform.history;
          await fleet.advanceUntil(() => holdNumber(nodes, number), boundMs);
          await fleet.advanceUntil(
            () => nodes.every(n => n.membership.listPresent().length === 5),
            20_000,
          );
        } finally {
          await fleet.stop();
        }
      }),
      createPropertyOptions(12),
    );
  });
});
