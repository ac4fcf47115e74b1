/** Times of crashes that count as one. */

/**
 * Crashes that occur within this time count as one, in milliseconds. A rack that
 * loses power accuses every part that was in use there, but only once. Crashes
 * of different servers under the same request all count.
 */
const crashMergeMs = 250;

/**
 * Sorts times in milliseconds, and keeps the first of those that are close together.
 *
 * @example
 * mergeTimes([1_000, 100, 200]) // [100, 1_000]
 */
export function mergeTimes(timesMs: readonly number[]): number[] {
  const merged: number[] = [];
  for (const timeMs of [...timesMs].sort((a, b) => a - b)) {
    const lastMs = merged.at(-1) ?? -Infinity;
    if (timeMs - lastMs > crashMergeMs) merged.push(timeMs);
  }
  return merged;
}
