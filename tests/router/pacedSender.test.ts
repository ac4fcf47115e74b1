import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {PacedSender} from '../../src/router/pacedSender.js';

/** Bandwidth in Mbit/s: 1,250 bytes a millisecond. */
const linkMbps = 10;
/** What the link bears in 50 ms. */
const burstBytes = 62_500;

describe('paced sender', () => {
  let clock: Clock;
  let sent: Array<[host: string, length: number]>;
  let sender: PacedSender;

  beforeEach(() => {
    clock = install({toFake: ['setTimeout', 'clearTimeout', 'performance']});
    sent = [];
    const send = (host: string, {length}: Uint8Array) =>
      sent.push([host, length]);
    sender = new PacedSender({send}, linkMbps);
  });

  afterEach(() => clock.uninstall());

  function countSentBytes(): number {
    return sent.reduce((sum, [, length]) => sum + length, 0);
  }

  it('should send what fits into a burst at once', () => {
    sender.schedule('a', new Uint8Array(burstBytes));
    expect(sent).to.deep.equal([['a', burstBytes]]);
    expect(sender.isBusy).to.equal(false);
  });

  // Guards against relays that fill a slow link with one round of reports.
  it('should use half of the link for what is scheduled', async () => {
    for (let i = 0; i < 100; i++) sender.schedule('a', new Uint8Array(12_500));
    await clock.tickAsync(1_000);
    const halfOfSecond = 625_000;
    expect(countSentBytes()).to.be.within(
      halfOfSecond,
      halfOfSecond + burstBytes + 12_500,
    );
    const expectedMs = sender.measureWaitMs();
    expect(sender.isBusy).to.equal(true);
    await clock.tickAsync(expectedMs - 40);
    expect(sender.isBusy).to.equal(true);
    await clock.tickAsync(40);
    expect(sender.isBusy).to.equal(false);
    expect(sent).to.have.length(100);
  });

  it('should keep the order of what is scheduled and send others before', async () => {
    sender.schedule('a', new Uint8Array(burstBytes));
    sender.schedule('b', new Uint8Array(10));
    sender.schedule('c', new Uint8Array(10));
    sender.send('d', new Uint8Array(10));
    await clock.tickAsync(1_000);
    expect(sent.map(([host]) => host).join('')).to.equal('adbc');
  });

  it('should send nothing after it was cleared', async () => {
    sender.schedule('a', new Uint8Array(burstBytes));
    sender.schedule('b', new Uint8Array(10));
    sender.clear();
    await clock.tickAsync(1_000);
    expect(sent).to.have.length(1);
  });
});
