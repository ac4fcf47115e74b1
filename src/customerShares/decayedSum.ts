/** Sums in which earlier amounts count less. */

/** Time constant of the decay of use, in milliseconds. */
export const usageWindowMs = 2_000;

/**
 * Returns the part of a decayed sum that is left after a time.
 *
 * @example
 * computeDecay(2_000) // about 0.37
 */
export function computeDecay(elapsedMs: number): number {
  return Math.exp(-elapsedMs / usageWindowMs);
}

/**
 * Adds up amounts that decay with `usageWindowMs`.
 *
 * @example
 * const sum = new DecayedSum();
 * sum.add(40);
 * sum.value === 40; // about 15 two seconds later
 */
export class DecayedSum {
  private sum = 0;
  private atMs = performance.now();

  /** Present value; amounts that were taken back never make it negative. */
  get value(): number {
    return Math.max(0, this.sum * computeDecay(performance.now() - this.atMs));
  }

  add(amount: number): void {
    const nowMs = performance.now();
    this.sum = this.sum * computeDecay(nowMs - this.atMs) + amount;
    this.atMs = nowMs;
  }
}
