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

  /** Supervises an attempt until the deadline of its request. */
  async function measureMs(change: Partial<AttemptBounds> = {}): Promise<{
    silenceMs: number | undefined;
    abortMs: number | undefined;
  }> {
    const attempt = new SilentAttempt();
    let silenceMs: number | undefined;
    const supervised = superviseAttempt(attempt, {
      route: buildRoute({kind: RouteKind.Stream, targetMs: 500}),
      signal: new AbortController().signal,
      remainingMs: 4_000,
      expectedMs: 100,
      hasEvents: () => false,
      isServerActive: () => false,
      handleSilence: () => (silenceMs ??= attempt.measureSilenceMs()),
      ...change,
    });
    await clock.tickAsync(4_000);
    await supervised;
    return {silenceMs, abortMs: attempt.abortedAtMs};
  }

  it('should tell that a server is silent while there is time for another', async () => {
    expect((await measureMs()).silenceMs).to.be.within(1_000, 1_500);
  });

  // Guards against giving up an engine that is merely overloaded: its prefill
  // of the prompt would be wasted, and another engine would repeat it.
  it('should wait longer at a server that sends other streams', async () => {
    const {silenceMs} = await measureMs({isServerActive: () => true});
    expect(silenceMs).to.be.within(1_500, 2_000);
  });

  // Guards against taking a request from the server that works on it before
  // another one has taken it.
  it('should not abort a silent attempt before the deadline', async () => {
    expect((await measureMs()).abortMs).to.be.within(4_000, 4_010);
  });

  // Guards against an error in the search for another server that stops the
  // router, or leaves its request without an end.
  it('should reject and abort the attempt if the handler of silence fails', async () => {
    const attempt = new SilentAttempt();
    const supervised = superviseAttempt(attempt, {
      route: buildRoute({kind: RouteKind.Idempotent}),
      signal: new AbortController().signal,
      remainingMs: 4_000,
      expectedMs: 100,
      hasEvents: () => false,
      isServerActive: () => false,
      handleSilence: () => {
        throw new TypeError('no such server');
      },
    }).catch((error: unknown) => error);
    await clock.tickAsync(2_000);
    expect(await supervised).to.be.instanceOf(TypeError);
    expect(attempt.abortedAtMs).to.be.below(2_000);
  });
});
