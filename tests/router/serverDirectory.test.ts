import FakeTimers, {type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {computeCompactKey} from '../../src/router/compactKey.js';
import {
  formatProcess,
  ServerState,
  type BackendServer,
} from '../../src/router/deployment.js';
import {ServerDirectory} from '../../src/router/serverDirectory.js';

function buildServer(id: string, state = ServerState.Ready): BackendServer {
  return {
    id,
    service: 'shop',
    host: '127.0.0.1',
    port: 80,
    zone: 'a',
    slots: 4,
    state,
    warmUpMs: 0,
  };
}

describe('directory of backend servers', () => {
  let clock: Clock;
  let directory: ServerDirectory;

  beforeEach(() => {
    clock = FakeTimers.install({toFake: ['performance']});
    directory = new ServerDirectory();
  });

  afterEach(() => clock.uninstall());

  function apply(revision: number, servers: BackendServer[], epoch = 1): void {
    directory.apply({servers, epoch, revision}, 0);
  }

  function listIds(): string[] {
    return directory.listUsable('shop').map(server => server.id);
  }

  it('should stop using servers that drain or are gone', () => {
    apply(1, [buildServer('x'), buildServer('y'), buildServer('z')]);
    clock.tick(500);
    apply(2, [buildServer('x', ServerState.Draining), buildServer('z')]);
    expect(listIds()).to.deep.equal(['z']);
  });

  it('should ignore a view that is older than the one it has', () => {
    apply(5, [buildServer('x')]);
    apply(4, [buildServer('y')]);
    expect(listIds()).to.deep.equal(['x']);
  });

  // Guards against routers that don't learn from each other that a server has
  // become cold, because its view has the same digest.
  it('should have another digest for a cold server where reads are watched', () => {
    const cold = {...buildServer('x'), warmUpMs: 900};
    apply(1, [buildServer('x')]);
    const {digest} = directory;
    apply(2, [cold]);
    expect(directory.digest).to.equal(digest);
    const read: number[] = [];
    directory.watchReads(([server], ageMs) =>
      read.push(server.warmUpMs, ageMs),
    );
    apply(3, [cold]);
    expect(directory.digest).not.to.equal(digest);
    expect(read).to.deep.equal([900, 0]);
    apply(4, [{...cold, warmUpMs: 100}]);
    const coldDigest = directory.digest;
    apply(5, [buildServer('x')]);
    expect(directory.digest).to.equal(digest);
    expect(coldDigest).not.to.equal(digest);
  });

  // During an outage of the store, registrations of live servers expire.
  it('should keep servers that are missing right after an outage', () => {
    apply(1, [buildServer('x'), buildServer('y')]);
    clock.tick(6_000);
    apply(2, [buildServer('x')]);
    expect(listIds()).to.have.members(['x', 'y']);
    clock.tick(1_000);
    apply(3, [buildServer('x'), buildServer('y')]);
    clock.tick(2_000);
    apply(4, [buildServer('x'), buildServer('y')]);
    expect(listIds()).to.have.members(['x', 'y']);
  });

  it('should drop servers that stay missing after an outage', () => {
    apply(1, [buildServer('x'), buildServer('y')]);
    clock.tick(6_000);
    apply(2, [buildServer('x')]);
    for (let revision = 3; revision < 9; revision++) {
      clock.tick(500);
      apply(revision, [buildServer('x')]);
    }
    expect(listIds()).to.deep.equal(['x']);
  });

  it('should drop a server that drains during the return after an outage', () => {
    apply(1, [buildServer('x'), buildServer('y')]);
    clock.tick(6_000);
    apply(2, [buildServer('x'), buildServer('y', ServerState.Draining)]);
    expect(listIds()).to.deep.equal(['x']);
  });

  it('should stop using a server whose address belongs to another process', () => {
    apply(1, [buildServer('x'), buildServer('y')]);
    directory.removeProcess(computeCompactKey(formatProcess(buildServer('x'))));
    expect(listIds()).to.deep.equal(['y']);
    apply(2, [buildServer('x'), buildServer('y')]);
    expect(listIds()).to.deep.equal(['y']);
  });

  it('should use a server that starts again under the id that it had', () => {
    apply(1, [buildServer('x')]);
    directory.removeProcess(computeCompactKey(formatProcess(buildServer('x'))));
    apply(2, [{...buildServer('x'), startedAt: 7}]);
    expect(listIds()).to.deep.equal(['x']);
  });

  // Guards against ignoring each view of a store that was restored from an old
  // copy, until its revisions have passed the last one before.
  it('should follow a restored platform, whose revisions go back', () => {
    apply(900, [buildServer('x')]);
    clock.tick(2_000);
    apply(40, [buildServer('x'), buildServer('z')], 2);
    expect(directory.measureAgeMs()).to.equal(0);
    expect(listIds()).to.have.members(['x', 'z']);
    // An answer from before the restore that arrives late.
    apply(901, [buildServer('y')], 1);
    expect(listIds()).to.have.members(['x', 'z']);
  });

  // Guards against requests to a server that had left before a restore (DRAIN),
  // and against one that is never used again although it has come back.
  it('should use servers that had left only when they outlast a restore', () => {
    apply(900, [buildServer('x'), buildServer('y'), buildServer('z')]);
    apply(901, [buildServer('x', ServerState.Draining), buildServer('z')]);
    const copy = [buildServer('x'), buildServer('y'), buildServer('z')];
    for (let revision = 40; revision < 45; revision++) {
      apply(revision, copy, 2);
      expect(listIds()).to.deep.equal(['z']);
      clock.tick(1_000);
    }
    clock.tick(1_000);
    apply(46, [buildServer('y'), buildServer('z')], 2);
    expect(listIds()).to.have.members(['y', 'z']);
  });

  it('should keep servers that an old copy lacks until they register', () => {
    apply(900, [buildServer('x'), buildServer('y')]);
    clock.tick(500);
    apply(40, [buildServer('x')], 2);
    expect(listIds()).to.have.members(['x', 'y']);
    clock.tick(2_400);
    apply(41, [buildServer('x')], 2);
    expect(listIds()).to.deep.equal(['x']);
  });

  it('should follow restores that come in series, also heard from a peer', () => {
    apply(900, [buildServer('x'), buildServer('y')]);
    apply(901, [buildServer('x')]);
    apply(40, [buildServer('x')], 2);
    clock.tick(500);
    directory.updateFreshnessFromPeer({epoch: 3, revision: 12}, 0);
    expect(directory.position).to.deep.equal({epoch: 3, revision: 12});
    apply(30, [buildServer('x'), buildServer('y')], 3);
    expect(listIds()).to.deep.equal(['x']);
    apply(99, [buildServer('y')], 2);
    expect(listIds()).to.deep.equal(['x']);
  });

  // Guards against requests to a server that has left during a restore, by routers
  // that learn from others that nothing else has changed.
  it('should drop servers that stay missing after a restore, with only news of peers', () => {
    apply(900, [buildServer('x'), buildServer('y'), buildServer('z')]);
    apply(901, [buildServer('x'), buildServer('y')]);
    apply(40, [buildServer('x'), buildServer('z')], 2);
    expect(listIds()).to.have.members(['x', 'y']);
    clock.tick(2_400);
    directory.updateFreshnessFromPeer({epoch: 2, revision: 41}, 0);
    expect(listIds()).to.deep.equal(['x']);
    for (let revision = 42; revision < 44; revision++) {
      clock.tick(1_900);
      directory.updateFreshnessFromPeer({epoch: 2, revision}, 0);
    }
    expect(listIds()).to.have.members(['x', 'z']);
  });
});
