/** Limits how long overcommitted slots may pause work of lower tiers. */

/** Longest time without a break in which the slots may be exceeded. */
export const maxOvercommitMs = 2_000;
/** Length of a break, in which the engine runs all work that it has paused. */
export const overcommitBreakMs = 500;

/**
 * Without breaks, steady work of a higher tier would keep a paused stream of a
 * lower tier paused for ever.
 */
export class OvercommitLimiter {
  private exceededSinceMs: number | undefined;
  private withinLimitSinceMs: number | undefined;

  /** Records by how much the slots are exceeded; true if they may be. */
  allow(excess: number, nowMs: number): boolean {
    if (excess > 0) {
      this.withinLimitSinceMs = undefined;
      this.exceededSinceMs ??= nowMs;
    } else {
      this.withinLimitSinceMs ??= nowMs;
      const withinLimitMs = nowMs - this.withinLimitSinceMs;
      if (withinLimitMs >= overcommitBreakMs) this.exceededSinceMs = undefined;
    }
    if (this.exceededSinceMs === undefined) return true;
    return nowMs - this.exceededSinceMs < maxOvercommitMs;
  }
}
