import FakeTimers, {type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {SenderChoice} from '../../src/serverPace/senderChoice.js';

describe('choice of senders', () => {
  let clock: Clock;

  beforeEach(() => {
    clock = FakeTimers.install({toFake: ['performance']});
  });

  afterEach(() => clock.uninstall());

  /** Starts a router that hears one other, and knows four seeds. */
  function startRouter(retired: readonly string[]): SenderChoice {
    const choice = new SenderChoice(() => ({
      host: '10.0.0.1',
      isOffered: true,
      others: ['10.0.0.2'],
      retired,
      seeds: ['10.0.0.2', '10.0.0.3', '10.0.0.4', '10.0.0.5'],
    }));
    choice.refresh();
    clock.tick(2_600);
    choice.refresh();
    return choice;
  }

  // Guards against a restarted router that sends nothing to cold servers for a
  // minute because seeds rest or have ended.
  it('should not wait for seeds that have retired', () => {
    const choice = startRouter(['10.0.0.3', '10.0.0.4', '10.0.0.5']);
    expect(choice.hasContact()).to.equal(true);
    expect(choice.isSender('engine-1', 3)).to.equal(true);
  });

  // Guards against a router that is cut off and counts as a fleet of its own.
  it('should wait for seeds that are merely silent', () => {
    const choice = startRouter([]);
    expect(choice.hasContact()).to.equal(false);
    expect(choice.isSender('engine-1', 3)).to.equal(false);
  });
});
