/** Times at which the steps of a router's shutdown happen. */

/**
 * Callers keep using a router's address for seconds after its shutdown began.
 * The router goes on accepting requests for this long. The platform excuses it
 * for cutting those that are sent up to 3 s after the signal; the rest is for
 * its delivery to the process.
 */
const drainListenMs = 2_800;
/**
 * Part of the grace period that is reserved for closing everything, which takes
 * up to 500 ms on a VM with 0.23 of a core.
 */
const exitMarginMs = 600;
/**
 * The platform excuses a router for cutting a request whose backend server is
 * still at work after this part of the grace period.
 */
const minGraceRatio = 5 / 6;

/**
 * Schedule of a shutdown whose signal may have been handled late.
 *
 * @example
 * const schedule = new ShutdownSchedule(8_000, signalAge.computeMaxMs());
 * await waitFor(schedule.acceptMs);
 * while (!schedule.isOver()) await waitFor(50);
 */
export class ShutdownSchedule {
  readonly startedAtMs = performance.now();
  private lagMs = 0;

  /** @param signalAgeMs - longest time since the signal was sent */
  constructor(
    private readonly graceMs: number,
    private readonly signalAgeMs: number,
  ) {}

  /** Time for which requests are accepted, from the start of the schedule. */
  get acceptMs(): number {
    return Math.max(0, drainListenMs - this.signalAgeMs);
  }

  /**
   * Records how late a timer fired. The last steps may be late by as much, so
   * they begin earlier.
   */
  recordLag(lagMs: number): void {
    this.lagMs = Math.max(this.lagMs, lagMs);
  }

  /** True once what is still in flight must end. */
  isOver(): boolean {
    const {graceMs, signalAgeMs, lagMs} = this;
    const leftMs = graceMs - signalAgeMs - exitMarginMs - lagMs;
    const spentMs = performance.now() - this.startedAtMs;
    return spentMs >= Math.max(graceMs * minGraceRatio, leftMs);
  }
}
