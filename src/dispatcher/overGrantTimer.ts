/** Limits how long grants in excess of the slots may pause lower tiers. */

/** Longest time without a break in which the slots may be exceeded. */
export const maxOverGrantMs = 2_000;
/** Length of a break, in which the engine runs all work that it has paused. */
export const overGrantBreakMs = 500;

/**
 * Without breaks, steady work of a higher tier would keep a paused stream of a
 * lower tier paused for ever.
 */
export class OverGrantTimer {
  private exceededSinceMs: number | undefined;
  private nominalSinceMs: number | undefined;

  /** Takes by how much the slots are exceeded; true when they may be. */
  allow(excess: number, nowMs: number): boolean {
    if (excess > 0) {
      this.nominalSinceMs = undefined;
      this.exceededSinceMs ??= nowMs;
    } else {
      this.nominalSinceMs ??= nowMs;
      const nominalMs = nowMs - this.nominalSinceMs;
      if (nominalMs >= overGrantBreakMs) this.exceededSinceMs = undefined;
    }
    if (this.exceededSinceMs === undefined) return true;
    return nowMs - this.exceededSinceMs < maxOverGrantMs;
  }
}
