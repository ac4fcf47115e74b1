import FakeTimers, {type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {
  superviseAttempt,
  type AttemptBounds,
} from '../../src/router/attemptSupervisor.js';
import {
  AttemptKind,
  type AttemptResult,
} from '../../src/router/backendAttempt.js';
import {RouteKind} from '../../src/router/deployment.js';
import type {AnvilstallError} from '../../src/protocol/errors.js';
import {buildRoute} from './routerFixture.js';

/** An attempt that never answers. */
class SilentAttempt {
  abortedAtMs: number | undefined;
  private readonly startedAtMs = performance.now();
  private settle!: (result: AttemptResult) => void;
  readonly result = new Promise<AttemptResult>(
    resolve => (this.settle = resolve),
  );

  abort(error: AnvilstallError): void {
    this.abortedAtMs ??= performance.now() - this.startedAtMs;
    this.settle({
      kind: AttemptKind.Broken,
      error,
      isConnectionLost: false,
      isUnanswered: false,
    });
  }

  measureSilenceMs(): number {
    return performance.now() - this.startedAtMs;
  }
}

describe('supervision of an attempt', () => {
  let clock: Clock;

  beforeEach(() => {
    clock = FakeTimers.install({
      toFake: ['performance', 'setTimeout', 'clearTimeout'],
    });
  });

  afterEach(() => clock.uninstall());

  async function measureAbortMs(
    change: Partial<AttemptBounds>,
  ): Promise<number | undefined> {
    const attempt = new SilentAttempt();
    const supervised = superviseAttempt(attempt, {
      route: buildRoute({kind: RouteKind.Stream, targetMs: 500}),
      signal: new AbortController().signal,
      remainingMs: 4_000,
      expectedMs: 100,
      hasEvents: () => false,
      isServerActive: () => false,
      canRetry: () => true,
      ...change,
    });
    await clock.tickAsync(4_000);
    await supervised;
    return attempt.abortedAtMs;
  }

  it('should abort an attempt at a silent server while there is time for another', async () => {
    expect(await measureAbortMs({})).to.be.within(1_000, 1_500);
  });

  // Guards against giving up an engine that is merely overloaded: its prefill
  // of the prompt would be wasted, and another engine would repeat it.
  it('should wait longer at a server that sends other streams', async () => {
    const abortedAtMs = await measureAbortMs({isServerActive: () => true});
    expect(abortedAtMs).to.be.within(1_500, 2_000);
  });

  it('should wait until the deadline when no other server may run it', async () => {
    const abortedAtMs = await measureAbortMs({canRetry: () => false});
    expect(abortedAtMs).to.be.within(4_000, 4_010);
  });
});
