import FakeTimers, {type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {
  ZoneStatus,
  type EvacuationReport,
  type ZoneReport,
} from '../../src/evacuation/evacuationReport.js';
import {Evacuations} from '../../src/evacuation/evacuations.js';
import {
  ItemKind,
  UpdateKind,
  type EvacuationItem,
} from '../../src/evacuation/evacuationUpdate.js';
import type {Log} from '../../src/node/log.js';

/** Time after a restore in which a missing evacuation is kept. */
const restoredPeriodMs = 6_000;

function buildWritten(zone: string): EvacuationItem {
  return {kind: ItemKind.Written, zone};
}

function buildReport(
  epoch: number,
  revision: number,
  zones: readonly ZoneReport[] = [],
): EvacuationReport {
  return {position: {epoch, revision}, zones};
}

const evacuatedA: ZoneReport = {zone: 'a', status: ZoneStatus.Evacuated};

describe('evacuations of availability zones', () => {
  let clock: Clock;
  let lines: string[];
  let evacuations: Evacuations;

  beforeEach(() => {
    clock = FakeTimers.install();
    lines = [];
    evacuations = create();
  });

  afterEach(() => clock.uninstall());

  function create(peerWaitMs = 0): Evacuations {
    const write = (event: string) => lines.push(event);
    const log = {logInfo: write, warn: write} as unknown as Log;
    return new Evacuations({zones: ['a', 'b'], peerWaitMs, log});
  }

  function read(epoch: number, revision: number, zones: string[] = []) {
    const kind = UpdateKind.Complete;
    const update = {kind, items: zones.map(buildWritten)};
    return evacuations.apply({epoch, revision, evacuations: update}, 'store');
  }

  function watch(epoch: number, revision: number, items: EvacuationItem[]) {
    const update = {kind: UpdateKind.Changes, items};
    return evacuations.apply({epoch, revision, evacuations: update}, 'store');
  }

  function expectEvacuated(...zones: string[]): void {
    const evacuated = ['a', 'b'].filter(zone => evacuations.isEvacuated(zone));
    expect(evacuated).to.deep.equal(zones);
  }

  it('should begin with the item and end with its deletion', () => {
    expect(evacuations.isKnown).to.equal(false);
    read(1, 5);
    expect(evacuations.measureSinceReturnMs('a')).to.equal(Infinity);
    expect(watch(1, 6, [buildWritten('a')])).to.equal(true);
    expectEvacuated('a');
    expect(evacuations.measureSinceReturnMs('a')).to.equal(0);
    expect(watch(1, 7, [])).to.equal(false);
    watch(1, 8, [{kind: ItemKind.Deleted, zone: 'a'}]);
    clock.tick(700);
    expectEvacuated();
    expect(evacuations.measureSinceReturnMs('a')).to.equal(700);
  });

  // Guards against requests to an evacuated zone after an outage of the store, or
  // after it has lost its history and is read anew.
  it('should last while the store is away and when it is read anew', () => {
    read(1, 5, ['a']);
    clock.tick(600_000);
    expectEvacuated('a');
    read(1, 900, ['a']);
    expectEvacuated('a');
    read(1, 901);
    expectEvacuated();
  });

  // Guards against late answers and reports of routers with a stale view, which
  // would end an evacuation or bring an ended one back.
  it('should ignore what is older than what is known', () => {
    read(2, 5, ['a']);
    read(2, 4);
    read(1, 900);
    watch(2, 4, [{kind: ItemKind.Deleted, zone: 'a'}]);
    evacuations.recordPeer(buildReport(2, 4), 10, 'peer');
    expectEvacuated('a');
    read(2, 6);
    evacuations.recordPeer(buildReport(2, 5, [evacuatedA]), 10, 'peer');
    evacuations.recordPeer(buildReport(1, 900, [evacuatedA]), 10, 'peer');
    expectEvacuated();
  });

  // Guards against a router that can't reach the store and doesn't follow.
  it('should follow a newer report of another router', () => {
    read(1, 5);
    const report = buildReport(1, 6, [evacuatedA]);
    expect(evacuations.recordPeer(report, 10, 'peer')).to.equal(true);
    expect(evacuations.recordPeer(report, 10, 'peer')).to.equal(false);
    expectEvacuated('a');
    evacuations.recordPeer(buildReport(1, 7), 10, 'peer');
    expectEvacuated();
  });

  describe('after a restore of the store from a backup', () => {
    beforeEach(() => {
      read(1, 900, ['a']);
      read(2, 5);
    });

    // Guards against requests in the time until the operator writes it again.
    it('should be kept until they are written again', () => {
      clock.tick(restoredPeriodMs - 1);
      read(2, 6);
      expectEvacuated('a');
      watch(2, 7, [buildWritten('a')]);
      clock.tick(restoredPeriodMs);
      read(2, 8, ['a']);
      expectEvacuated('a');
    });

    it('should not be retained if the backup has them', () => {
      lines = [];
      read(3, 4, ['a']);
      expectEvacuated('a');
      expect(lines).to.deep.equal([]);
    });

    it('should end when they are not written again', () => {
      clock.tick(restoredPeriodMs);
      watch(2, 6, []);
      expectEvacuated();
      // A router that is behind doesn't bring it back.
      const retained = {status: ZoneStatus.Retained, remainingMs: 50} as const;
      const report = buildReport(2, 6, [{zone: 'a', ...retained}]);
      evacuations.recordPeer(report, 10, 'peer');
      expectEvacuated();
    });

    // Guards against an evacuation that ends because the store goes away again
    // before the operator can write it.
    it('should be kept while the store can not be read', () => {
      clock.tick(10 * restoredPeriodMs);
      expectEvacuated('a');
    });

    it('should end at once when the deletion is seen', () => {
      watch(2, 6, [{kind: ItemKind.Deleted, zone: 'a'}]);
      expectEvacuated();
      const sinceMs = 40;
      const status = ZoneStatus.Returned;
      const other = create();
      const zone = {zone: 'a', status, sinceMs, epoch: 2} as const;
      evacuations = other;
      read(1, 900, ['a']);
      read(2, 5);
      other.recordPeer(buildReport(2, 6, [zone]), 10, 'peer');
      expectEvacuated();
    });

    it('should end when the first watch in the new epoch deletes them', () => {
      evacuations = create();
      read(1, 900, ['a']);
      watch(2, 5, [{kind: ItemKind.Deleted, zone: 'a'}]);
      read(2, 6);
      expectEvacuated();
    });

    // Guards against a router that starts after the restore and reads a store
    // that lacks the evacuation.
    it('should be taken over by a router that starts', () => {
      const report = evacuations.buildReport()!;
      evacuations = create();
      read(2, 10);
      expectEvacuated();
      evacuations.recordPeer(report, 10, 'peer');
      expectEvacuated('a');
      clock.tick(restoredPeriodMs);
      read(2, 11);
      expectEvacuated();
    });

    // Guards against the same when the other routers don't know of the restore
    // yet; one that was cut off for long tells nothing about the present.
    it('should be taken over from a router in the old epoch', () => {
      const report = buildReport(1, 900, [evacuatedA]);
      evacuations = create();
      read(2, 10);
      evacuations.recordPeer(report, restoredPeriodMs, 'peer');
      expectEvacuated();
      evacuations.recordPeer(report, 1_000, 'peer');
      expectEvacuated('a');
      clock.tick(restoredPeriodMs - 1_000);
      read(2, 11);
      expectEvacuated();
      evacuations.recordPeer(report, 1_000, 'peer');
      expectEvacuated();
    });
  });

  // Guards against requests of a router that has read a restored store and hasn't
  // heard the others yet.
  it('should not be known before another router was heard or time is up', () => {
    evacuations = create(600);
    read(1, 5);
    expect(evacuations.isKnown).to.equal(false);
    expect(evacuations.buildReport()).to.equal(undefined);
    clock.tick(600);
    expect(evacuations.isKnown).to.equal(true);
    evacuations = create(600);
    read(1, 5);
    expect(evacuations.recordPeer(buildReport(1, 4), 10, 'peer')).to.equal(
      true,
    );
    expect(evacuations.isKnown).to.equal(true);
  });

  it('should tell a router that starts how long ago a zone returned', () => {
    read(1, 5, ['a']);
    read(1, 6);
    clock.tick(300);
    const report = evacuations.buildReport()!;
    evacuations = create();
    evacuations.recordPeer(report, 10, 'peer');
    expect(evacuations.measureSinceReturnMs('a')).to.equal(300);
  });

  // Guards against a router that starts, finds the item of an evacuated zone
  // unreadable, and ends the evacuation at the others as the reader.
  it('should outlast an unreadable item beside a router that starts', () => {
    const status = ZoneStatus.Unreadable as const;
    read(1, 5, ['a']);
    evacuations.recordPeer(
      buildReport(1, 7, [{zone: 'a', status}]),
      10,
      'peer',
    );
    expectEvacuated('a');
    evacuations = create();
    const kind = ItemKind.Unreadable as const;
    const items = [{kind, name: 'item-a', zone: 'a'}];
    const update = {kind: UpdateKind.Complete, items};
    evacuations.apply({epoch: 1, revision: 7, evacuations: update}, 'store');
    expectEvacuated();
    expect(evacuations.buildReport()?.zones).to.deep.equal([
      {zone: 'a', status},
    ]);
    evacuations.recordPeer(buildReport(1, 5, [evacuatedA]), 10, 'peer');
    expectEvacuated('a');
    read(1, 8);
    expectEvacuated();
  });

  // Guards against cold servers for the deletion of an item that had no effect.
  it('should not count the end of an unreadable item as a return', () => {
    read(1, 5);
    const kind = ItemKind.Unreadable;
    watch(1, 6, [{kind, name: 'item-b', zone: 'b'}]);
    watch(1, 7, [{kind: ItemKind.Deleted, zone: 'b'}]);
    expect(evacuations.measureSinceReturnMs('b')).to.equal(Infinity);
  });

  it('should log an unusable item once and leave all else as it is', () => {
    read(1, 5, ['a']);
    for (const revision of [6, 7]) {
      const kind = ItemKind.Unreadable;
      const items: EvacuationItem[] = [
        {kind, name: 'item-a', zone: 'a'},
        {kind, name: 'item-b', zone: 'b'},
        {kind, name: 'item-'},
        buildWritten('nowhere'),
      ];
      const update = {kind: UpdateKind.Complete, items};
      evacuations.apply({epoch: 1, revision, evacuations: update}, 'store');
    }
    expectEvacuated('a');
    expect(evacuations.isEvacuated('nowhere')).to.equal(false);
    expect(lines).to.deep.equal([
      'zone evacuated',
      ...new Array<string>(3).fill('evacuation not readable, ignored'),
      'evacuation of a zone that does not exist, ignored',
    ]);
  });
});
