/** A clock for tests with real sockets whose result must not depend on load. */
import FakeTimers, {type Clock} from '@sinonjs/fake-timers';

/** Time by which one step advances the clock, in milliseconds. */
const stepMs = 5;
/**
 * Iterations of the event loop in each step. An exchange between two sockets of
 * the process takes one or two for each direction.
 */
const iterationsPerStep = 10;

/**
 * Replaces the clock of the runtime, and advances it only while the event loop
 * runs. Time in which the process gets no processor then doesn't pass for the
 * code under test, neither for the routers nor for the servers of the test.
 *
 * @example
 * const clock = SteppedClock.start(); // and at the end:
 * await clock.stop();
 */
export class SteppedClock {
  private isStopping = false;
  private readonly stopped: Promise<void>;

  private constructor(private readonly clock: Clock) {
    this.stopped = this.run();
  }

  static start(): SteppedClock {
    return new SteppedClock(
      FakeTimers.install({
        toFake: [
          'performance',
          'setTimeout',
          'clearTimeout',
          'setInterval',
          'clearInterval',
        ],
      }),
    );
  }

  /** Returns to the clock of the runtime. */
  async stop(): Promise<void> {
    this.isStopping = true;
    await this.stopped;
    this.clock.uninstall();
  }

  private async run(): Promise<void> {
    while (!this.isStopping) {
      this.clock.tick(stepMs);
      for (let i = 0; i < iterationsPerStep; i++) {
        await new Promise(resolve => setImmediate(resolve));
      }
    }
  }
}
