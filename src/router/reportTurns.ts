/** Which of many items the next report lists when it has no room for all. */

/**
 * Counts the reports that listed each item.
 *
 * @example
 * const listed = turns.sort(keys).slice(0, maxListed);
 * turns.record(listed);
 */
export class ReportTurns {
  private readonly counts = new Map<number, number>();

  /**
   * Sorts keys by the reports that listed them, the fewest first. Among equals the
   * last of the keys is the first.
   */
  sort(keys: Iterable<number>): number[] {
    const count = (key: number) => this.counts.get(key) ?? 0;
    return [...keys].reverse().sort((a, b) => count(a) - count(b));
  }

  /** Records that a report lists the keys. */
  record(keys: readonly number[]): void {
    for (const key of keys) {
      this.counts.set(key, (this.counts.get(key) ?? 0) + 1);
    }
  }

  /** Forgets the keys that aren't reported any more. */
  retain(isReported: (key: number) => boolean): void {
    for (const key of this.counts.keys()) {
      if (!isReported(key)) this.counts.delete(key);
    }
  }
}
