/** Median of the newest samples. */

/**
 * Keeps a window of samples.
 *
 * @example
 * const median = new DecayingMedian(16);
 * median.add(12);
 * median.compute() === 12
 */
export class DecayingMedian {
  private readonly samples: number[] = [];
  private next = 0;
  private cached: number | undefined;

  /** @param size - number of samples in the window */
  constructor(private readonly size: number) {}

  add(sample: number): void {
    this.samples[this.next] = sample;
    this.next = (this.next + 1) % this.size;
    this.cached = undefined;
  }

  /** Number of samples in the window. */
  count(): number {
    return this.samples.length;
  }

  /** Returns the lower median; undefined without samples. */
  compute(): number | undefined {
    this.cached ??= computeMedian(this.samples);
    return this.cached;
  }
}

/** Returns the lower median of some numbers. */
export function computeMedian(numbers: readonly number[]): number | undefined {
  const sorted = [...numbers].sort((a, b) => a - b);
  return sorted[(sorted.length - 1) >> 1];
}
