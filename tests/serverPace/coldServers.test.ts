import FakeTimers, {type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {computeColdLimit} from '../../src/serverPace/coldLimit.js';
import {ColdCause, ColdServers} from '../../src/serverPace/coldServers.js';
import type {PacedServer} from '../../src/serverPace/pacedServer.js';
import {EvidenceKind} from '../../src/serverPace/restartEvidence.js';

const coldStart = {durationMs: 3_000, requestsPerSecond: 10};
const warm: PacedServer = {
  id: 'engine-1',
  service: 'models',
  zone: 'a',
  host: '10.0.0.1',
  port: 80,
  startedAt: 1_000,
  warmUpMs: 0,
};

/** One router's knowledge of a server. */
class ColdRouter {
  readonly notices: number[] = [];
  readAtMs = performance.now();
  sinceReturnMs = Infinity;
  readonly cold = new ColdServers({
    getColdStart: service => (service === 'models' ? coldStart : undefined),
    measureViewAgeMs: () => performance.now() - this.readAtMs,
    measureSinceReturnMs: () => this.sinceReturnMs,
    announce: key => this.notices.push(key),
    repeat: () => undefined,
    hasContact: () => true,
  });

  read(server: PacedServer): void {
    this.readAtMs = performance.now();
    this.cold.recordRead([server], 0);
  }

  findCause(server = warm): ColdCause | undefined {
    return this.cold.findCause(server);
  }
}

describe('cold servers', () => {
  let clock: Clock;
  let router: ColdRouter;

  beforeEach(() => {
    clock = FakeTimers.install({toFake: ['performance']});
    router = new ColdRouter();
    router.read(warm);
    advance(10_000);
  });

  afterEach(() => clock.uninstall());

  /** Lets time pass in which the router reads the same entry. */
  function advance(ms: number, server = warm): void {
    for (let passedMs = 0; passedMs < ms; passedMs += 100) {
      clock.tick(100);
      router.read(server);
    }
  }

  function recordLoss(): void {
    router.cold.recordEvidence(warm, EvidenceKind.Strong);
  }

  // Guards against a server that stays cold because its entry is read again.
  it('should be cold for the time that an entry states', () => {
    const started = {...warm, startedAt: 2_000, warmUpMs: 3_000};
    router.read(started);
    expect(router.findCause(started)).to.equal(ColdCause.Entry);
    advance(2_900, started);
    expect(router.findCause(started)).to.equal(ColdCause.Entry);
    advance(200, started);
    expect(router.findCause(started)).to.equal(undefined);
    expect(router.cold.hasCold()).to.equal(false);
  });

  // Guards against a flood of a server that is back before its entry is.
  it('should be cold after a crash until its entry shows the new process', () => {
    recordLoss();
    advance(2_000);
    expect(router.findCause()).to.equal(ColdCause.Restarted);
    const restarted = {...warm, startedAt: 9_000, warmUpMs: 2_500};
    router.read(restarted);
    expect(router.findCause(restarted)).to.equal(ColdCause.Entry);
    advance(2_600, restarted);
    expect(router.findCause(restarted)).to.equal(undefined);
  });

  it('should be warm when an entry shows that the process has gone on', () => {
    recordLoss();
    advance(5_500);
    expect(router.findCause()).to.equal(ColdCause.Restarted);
    advance(200);
    expect(router.findCause()).to.equal(undefined);
  });

  // Guards against a server that turns connections away, and counts as
  // restarted for seconds although its other connections go on.
  it('should be warm again at all routers once an older connection goes on', () => {
    const other = new ColdRouter();
    other.read(warm);
    const connectedAtMs = performance.now() - 3_000;
    recordLoss();
    for (const key of router.notices) other.cold.evidence.recordNotice(key);
    expect(other.cold.evidence.isEmpty).to.equal(false);
    router.cold.recordLife(warm, connectedAtMs);
    expect(router.findCause()).to.equal(ColdCause.Restarted);
    clock.tick(300);
    router.cold.recordLife(warm, performance.now() - 100);
    expect(router.findCause()).to.equal(ColdCause.Restarted);
    router.cold.recordLife(warm, connectedAtMs);
    expect(router.findCause()).to.equal(undefined);
    for (const key of router.notices) other.cold.evidence.recordNotice(key);
    other.read(warm);
    clock.tick(3_000);
    other.read(warm);
    expect(other.findCause()).to.equal(undefined);
  });

  // Guards against evidence that arrives late, and is disproved by a connection
  // to the process that has replaced the other.
  it('should stay cold while only connections to a new process go on', () => {
    recordLoss();
    const connectedAtMs = performance.now() - 2_350;
    clock.tick(300);
    router.cold.recordLife(warm, connectedAtMs);
    expect(router.findCause()).to.equal(ColdCause.Restarted);
  });

  // Guards against a crash that is missed because a notice of earlier trouble
  // is still repeated.
  it('should be cold again after a crash that follows other trouble', () => {
    const connectedAtMs = performance.now() - 3_000;
    recordLoss();
    clock.tick(300);
    router.cold.recordLife(warm, connectedAtMs);
    clock.tick(1_000);
    recordLoss();
    const [first, same, second] = router.notices;
    expect(new Set([first, same, second]).size).to.equal(3);
    expect(router.cold.evidence.recordNotice(same)).to.equal(false);
    router.read(warm);
    expect(router.findCause()).to.equal(ColdCause.Restarted);
  });

  // Guards against a proof that is older than the crash that it would hide.
  it('should stay cold after a crash soon after trouble that was disproved', () => {
    const other = new ColdRouter();
    other.read(warm);
    recordLoss();
    other.cold.evidence.recordNotice(router.notices[0]);
    clock.tick(300);
    other.cold.recordLife(warm, performance.now() - 3_000);
    recordLoss();
    router.cold.evidence.recordNotice(other.notices[0]);
    expect(router.findCause()).to.equal(ColdCause.Restarted);
    expect(router.notices).to.have.length(2);
  });

  // Guards against evidence that goes on without end, because routers learn it
  // again from repeats of those that learned it from them.
  it('should not learn evidence again from its repeats', () => {
    recordLoss();
    const [key] = router.notices;
    for (let ms = 0; ms < 20_000; ms += 100) {
      advance(100);
      router.cold.update();
      expect(router.cold.evidence.recordNotice(key)).to.equal(false);
    }
    expect(router.findCause()).to.equal(undefined);
    advance(5_100);
    router.cold.update();
    expect(router.cold.evidence.isEmpty).to.equal(true);
  });

  // Guards against a service that drops idle connections and is paced for it.
  it('should be cold for a short time after resets of idle connections', () => {
    for (let ms = 0; ms < 9_000; ms += 100) {
      router.cold.recordEvidence(warm, EvidenceKind.Weak);
      const expected = ms < 2_000 ? ColdCause.Restarted : undefined;
      expect(router.findCause()).to.equal(expected);
      advance(100);
    }
    expect(router.notices).to.deep.equal([]);
  });

  it('should be cold after the return of their zone, and with an old view', () => {
    router.sinceReturnMs = 2_900;
    expect(router.findCause()).to.equal(ColdCause.ZoneReturned);
    router.sinceReturnMs = 3_000;
    expect(router.findCause()).to.equal(undefined);
    clock.tick(2_600);
    expect(router.cold.hasCold()).to.equal(true);
    expect(router.findCause()).to.equal(ColdCause.StaleView);
    const plain = {...warm, service: 'shop'};
    expect(router.findCause(plain)).to.equal(undefined);
  });

  // Guards against two groups of senders that exceed the limit together.
  it('should get at most half of the limit from one group of senders', () => {
    for (const requestsPerSecond of [0.1, 1, 3, 10, 400]) {
      const start = {...coldStart, requestsPerSecond};
      const bounds = {overrun: 1.5, slack: 1};
      const {limit, senders, perSecond} = computeColdLimit(start, bounds);
      expect(senders + perSecond).to.be.at.most(limit / 2);
    }
  });
});
