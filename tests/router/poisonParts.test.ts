import FakeTimers, {type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {
  minCrashes,
  PartVerdictKind,
  PoisonParts,
} from '../../src/router/poisonParts.js';

const manual = 1;
const deadly = 2;
const unit = 3;

describe('prompt parts that crash engines', () => {
  let clock: Clock;
  let isProber: boolean;

  beforeEach(() => {
    clock = FakeTimers.install({
      toFake: ['performance', 'setTimeout', 'clearTimeout'],
    });
    isProber = true;
  });

  afterEach(() => clock.uninstall());

  function create(): PoisonParts {
    const announce = () => undefined;
    return new PoisonParts({announce, isProber: () => isProber});
  }

  /** Records crashes of prompts that share nothing but the given parts. */
  function recordCrashes(
    parts: PoisonParts,
    count: number,
    list = (index: number) => [manual, deadly, 100 + index],
  ): void {
    for (let i = 0; i < count; i++) {
      parts.recordCrash(list(i));
      clock.tick(700);
    }
  }

  const check = (parts: PoisonParts, ...keys: number[]) =>
    parts.check(keys).kind;

  // Guards against crashing one engine after the other with requests that have
  // only a part in common (BUDGET), as no two of them are alike.
  it('should be blocked after a few crashes, whatever the other parts', () => {
    const parts = create();
    recordCrashes(parts, minCrashes - 1);
    expect(check(parts, manual, deadly, 7)).to.equal(PartVerdictKind.Clear);
    recordCrashes(parts, 1, () => [manual, deadly, 50]);
    expect(check(parts, manual, deadly, 7)).to.equal(PartVerdictKind.Blocked);
    expect(parts.listBlocked()).to.deep.equal([[deadly, minCrashes]]);
  });

  // Guards against refusing sound requests that share the other parts with those
  // that crash engines (LOST).
  it('should not take the parts beside them along', () => {
    const parts = create();
    recordCrashes(parts, minCrashes, () => [manual, deadly]);
    expect(check(parts, manual, unit)).to.equal(PartVerdictKind.Clear);
    parts.recordStart([manual, unit]);
    expect(check(parts, manual, unit)).to.equal(PartVerdictKind.Clear);
    expect(check(parts, manual, deadly)).to.equal(PartVerdictKind.Blocked);
  });

  it('should be found when they come first in the prompt', () => {
    const parts = create();
    recordCrashes(parts, minCrashes, index => [deadly, 200 + index]);
    expect(check(parts, deadly, 7)).to.equal(PartVerdictKind.Blocked);
    expect(check(parts, manual, 201)).to.equal(PartVerdictKind.Clear);
  });

  // Guards against blocking a popular part because a rack has lost power.
  it('should not be suspected because many engines crash together', () => {
    const parts = create();
    for (let i = 0; i < 20; i++) {
      parts.recordCrash([manual, 300 + i]);
      clock.tick(5);
    }
    clock.tick(5_000);
    expect(check(parts, manual, unit)).to.equal(PartVerdictKind.Clear);
  });

  // Guards against taking lost answers of live engines for crashes.
  it('should not be suspected while the engine sends other events', () => {
    const parts = create();
    for (let i = 0; i < minCrashes; i++) {
      parts.suspectCrash([manual, deadly], () => true);
      clock.tick(1_000);
    }
    expect(parts.crashCount).to.equal(0);
    for (let i = 0; i < minCrashes; i++) {
      parts.suspectCrash([manual, deadly], () => false);
      clock.tick(1_000);
    }
    expect(check(parts, manual, deadly)).to.equal(PartVerdictKind.Blocked);
  });

  it('should be found by the evidence of all routers, repeated or not', () => {
    const [a, b] = [create(), create()];
    recordCrashes(a, minCrashes - 1);
    for (let i = 0; i < 3; i++) b.recordPeer(a.listEvidence(true), false);
    expect(check(b, deadly)).to.equal(PartVerdictKind.Clear);
    recordCrashes(b, 1, () => [manual, deadly, 50]);
    a.recordPeer(b.listEvidence(false), false);
    expect(check(a, deadly)).to.equal(PartVerdictKind.Blocked);
    expect(check(b, deadly)).to.equal(PartVerdictKind.Blocked);
  });

  it('should be known to a router that starts later', () => {
    const a = create();
    recordCrashes(a, minCrashes);
    clock.tick(5_000);
    const late = create();
    late.recordPeer(a.listEvidence(false), false);
    expect(check(late, deadly)).to.equal(PartVerdictKind.Clear);
    late.recordPeer(a.listEvidence(true), false);
    expect(check(late, deadly)).to.equal(PartVerdictKind.Blocked);
  });

  it('should be passed on by a relay, as should be an acquittal', () => {
    const [member, relay, other] = [create(), create(), create()];
    recordCrashes(member, minCrashes);
    relay.recordPeer(member.listEvidence(true), true);
    other.recordPeer(relay.listEvidence(false), false);
    expect(check(other, deadly)).to.equal(PartVerdictKind.Blocked);
    member.recordStart([deadly]);
    relay.recordPeer(member.listEvidence(false), true);
    other.recordPeer(relay.listEvidence(false), false);
    expect(check(other, deadly)).to.equal(PartVerdictKind.Clear);
    // A repetition of the old evidence changes nothing.
    other.recordPeer(relay.listEvidence(true), false);
    expect(check(other, deadly)).to.equal(PartVerdictKind.Clear);
  });

  // Guards against a prompt that takes a router down, or whose reports are too
  // large for a datagram, because it lists a part twice or very many parts.
  it('should be bounded whatever a prompt lists', () => {
    const parts = create();
    const many = Array.from({length: 700}, (_, i) => 1_000 + i);
    recordCrashes(parts, 100, () => [manual, manual, ...many]);
    const {crashes} = parts.listEvidence(true);
    expect(crashes).not.to.be.empty;
    expect(crashes.flatMap(crash => crash.parts).length).to.be.at.most(2_000);
    clock.tick(700_000);
    expect(parts.listEvidence(true).crashes).to.be.empty;
    expect(parts.crashCount).to.equal(0);
  });

  // Guards against refusing a part for good that was accused by coincidence.
  it('should be probed by one request of one router after a while', () => {
    const parts = create();
    recordCrashes(parts, minCrashes);
    clock.tick(9_000);
    expect(check(parts, deadly)).to.equal(PartVerdictKind.Blocked);
    clock.tick(1_000);
    isProber = false;
    expect(check(parts, deadly)).to.equal(PartVerdictKind.Blocked);
    isProber = true;
    expect(check(parts, deadly)).to.equal(PartVerdictKind.Probe);
    parts.recordProbe(deadly);
    expect(check(parts, deadly)).to.equal(PartVerdictKind.Blocked);
    parts.recordStart([deadly]);
    expect(check(parts, deadly)).to.equal(PartVerdictKind.Clear);
  });

  // Guards against more than three further crashes in the course of a day.
  it('should be probed less and less, and then no more', () => {
    const parts = create();
    recordCrashes(parts, 5);
    let probes = 0;
    for (let second = 0; second < 3_600; second++) {
      clock.tick(1_000);
      const verdict = parts.check([deadly]);
      expect(verdict.kind).not.to.equal(PartVerdictKind.Clear);
      if (verdict.kind !== PartVerdictKind.Probe) continue;
      probes += 1;
      parts.recordProbe(deadly);
      parts.recordCrash([deadly]);
    }
    expect(probes).to.equal(2);
  });
});
