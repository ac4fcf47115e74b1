/** Wall clock for the expiry of operation prefixes; never goes backwards. */

/**
 * Returns Unix time that advances at least as fast as the monotonic clock. A
 * wall clock that is set back would make a prefix valid again after the
 * records of its keys were dropped, and an operation could run twice.
 *
 * @example
 * const expired = clock.getNowMs() >= prefix.expiresAtMs;
 */
export class ExpiryClock {
  private markMs = Date.now();
  private markAtMs = performance.now();

  /** Unix time in milliseconds. */
  getNowMs(): number {
    const monotonicMs = performance.now();
    const advancedMs = this.markMs + (monotonicMs - this.markAtMs);
    this.markMs = Math.max(Date.now(), advancedMs);
    this.markAtMs = monotonicMs;
    return this.markMs;
  }
}
