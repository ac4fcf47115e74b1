/** Wall clock for the expiry of operation prefixes that never goes back. */

/**
 * Unix time that advances at least as fast as the monotonic clock. If it
 * followed a wall clock that is set back, a prefix could become valid again
 * after the records of its keys were dropped, and an operation could run twice.
 *
 * @example
 * const expired = clock.getNowMs() >= prefix.expiresAtMs;
 */
export class ExpiryClock {
  private lastUnixMs = Date.now();
  private lastMonotonicMs = performance.now();

  /** Unix time in milliseconds. */
  getNowMs(): number {
    const monotonicMs = performance.now();
    const advancedMs = this.lastUnixMs + (monotonicMs - this.lastMonotonicMs);
    this.lastUnixMs = Math.max(Date.now(), advancedMs);
    this.lastMonotonicMs = monotonicMs;
    return this.lastUnixMs;
  }
}
