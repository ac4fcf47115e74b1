import FakeTimers, {type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {HoldQueue} from '../../src/router/holdQueue.js';

describe('queue of requests that wait for room at the servers', () => {
  let clock: Clock;
  let queue: HoldQueue;
  let woken: string[];

  beforeEach(() => {
    clock = FakeTimers.install({
      toFake: ['performance', 'setInterval', 'clearInterval'],
    });
    queue = new HoldQueue();
    woken = [];
  });

  afterEach(() => clock.uninstall());

  function hold(name: string, rank: number, latestAtMs: number): void {
    const {signal} = new AbortController();
    void queue.wait({rank, latestAtMs}, signal).then(() => woken.push(name));
  }

  async function settle(): Promise<void> {
    await new Promise(resolve => setImmediate(resolve));
  }

  // Guards against sending a less urgent request before a more urgent one.
  it('should wake the most urgent first, then the one that can wait least', async () => {
    hold('late', 1, 900);
    hold('soon', 1, 500);
    hold('urgent', 0, 900);
    for (let i = 0; i < 3; i++) queue.wakeNext();
    await settle();
    expect(woken).to.deep.equal(['urgent', 'soon', 'late']);
  });

  // Guards against a selection for each of hundreds of requests every 60 ms.
  it('should wake a few in each check and all that can wait no longer', async () => {
    for (let i = 0; i < 200; i++) hold('waiting', 1, 2_000);
    for (let i = 0; i < 7; i++) hold('due', 2, 50);
    clock.tick(60);
    await settle();
    expect(woken.filter(name => name === 'due')).to.have.length(7);
    expect(woken).to.have.length(7 + 4);
    expect(queue.size).to.equal(196);
  });

  it('should not keep the request of a caller that has left', async () => {
    const caller = new AbortController();
    const wait = queue.wait({rank: 0, latestAtMs: 500}, caller.signal);
    caller.abort();
    await wait;
    expect(queue.size).to.equal(0);
    await queue.wait({rank: 0, latestAtMs: 500}, caller.signal);
    expect(queue.size).to.equal(0);
  });

  // Guards against holding requests that can't be served before they are late.
  it('should take no request that would wait too long at the present rate', () => {
    const held = {rank: 1, latestAtMs: 2_000};
    for (let i = 0; i < 30; i++) hold('before', 1, 1_900);
    expect(queue.canWait(held)).to.equal(true);
    for (let i = 0; i < 20; i++) {
      clock.tick(60);
      hold('again', 1, 1_900);
    }
    expect(queue.canWait(held)).to.equal(false);
    // Guards against starving the most urgent, which pass all others.
    expect(queue.canWait({rank: 0, latestAtMs: 2_000})).to.equal(true);
    for (let i = 0; i < 80; i++) queue.recordStart();
    expect(queue.canWait(held)).to.equal(true);
  });

  // Guards against refusing urgent requests for want of slots while less urgent
  // ones begin.
  it('should keep slots for requests as urgent as one that found none', () => {
    expect(queue.shouldLeaveSlots(3)).to.equal(false);
    queue.recordSlotShortage(1);
    queue.recordSlotShortage(2);
    expect(queue.shouldLeaveSlots(1)).to.equal(false);
    expect(queue.shouldLeaveSlots(2)).to.equal(true);
    clock.tick(300);
    expect(queue.shouldLeaveSlots(3)).to.equal(false);
    queue.recordSlotShortage(2);
    expect(queue.shouldLeaveSlots(2)).to.equal(false);
    expect(queue.shouldLeaveSlots(3)).to.equal(true);
  });

  it('should have no timer while nothing waits', async () => {
    hold('only', 1, 10);
    clock.tick(60);
    await settle();
    expect(woken).to.deep.equal(['only']);
    clock.tick(60);
    expect(clock.countTimers()).to.equal(0);
  });

  describe('with shares of customers', () => {
    const beyond = new Set(['museum', 'library']);
    const second = 1_000;

    beforeEach(() => {
      queue = new HoldQueue((_rank, customer) => beyond.has(customer));
    });

    function holdFor(customer: string, rank: number, latestAtMs: number): void {
      const {signal} = new AbortController();
      const name = `${customer} ${rank} ${latestAtMs}`;
      const held = {rank, latestAtMs, customer};
      void queue.wait(held, signal).then(() => woken.push(name));
    }

    // Load: two customers beyond their shares, others within. Guards against a
    // queue whose first places belong to those with most requests, and against
    // an order that puts customers before ranks or makes the others late.
    it('should keep ranks, and wake customers within their shares first', async () => {
      holdFor('museum', 1, 300);
      holdFor('archive', 1, 900);
      holdFor('theatre', 1, 500);
      holdFor('museum', 0, second);
      for (let i = 0; i < 4; i++) queue.wakeNext();
      await settle();
      expect(woken).to.deep.equal([
        'museum 0 1000',
        'theatre 1 500',
        'archive 1 900',
        'museum 1 300',
      ]);
    });

    it('should wake those beyond their shares in turn by their use', async () => {
      for (const latestAtMs of [800, 700, 900]) {
        holdFor('museum', 1, latestAtMs);
        holdFor('library', 1, latestAtMs);
      }
      const charge = (customer: string, useMs: number) =>
        queue.recordStart({rank: 1, latestAtMs: 0, customer}, useMs);
      queue.wakeNext();
      charge('museum', 100);
      for (let i = 0; i < 2; i++) {
        queue.wakeNext();
        charge('library', 40);
      }
      await settle();
      expect(woken).to.deep.equal([
        'museum 1 700',
        'library 1 700',
        'library 1 800',
      ]);
    });

    // Guards against a customer that fills the queue for the others.
    it('should not count those that come later against a wait', () => {
      for (let i = 0; i < 30; i++) holdFor('museum', 1, 400);
      holdFor('library', 1, 500);
      clock.tick(30);
      for (let i = 0; i < 20; i++) {
        clock.tick(60);
        holdFor('museum', 1, second * 9);
      }
      const within = {rank: 1, latestAtMs: second * 9, customer: 'archive'};
      expect(queue.canWait(within)).to.equal(true);
      expect(queue.canWait({...within, customer: 'museum'})).to.equal(false);
    });
  });
});
