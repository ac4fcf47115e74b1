/** Median over a sliding window of samples. */

/**
 * Keeps the newest samples and computes their median.
 *
 * @example
 * const median = new SlidingMedian(16);
 * median.add(12);
 * median.compute() === 12
 */
export class SlidingMedian {
  private readonly samples: number[] = [];
  private nextIndex = 0;
  private cached: number | undefined;

  /** @param windowSize - number of samples in the window */
  constructor(private readonly windowSize: number) {}

  add(sample: number): void {
    this.samples[this.nextIndex] = sample;
    this.nextIndex = (this.nextIndex + 1) % this.windowSize;
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

/** Returns the lower median; undefined for an empty list. */
export function computeMedian(numbers: readonly number[]): number | undefined {
  const sorted = [...numbers].sort((a, b) => a - b);
  return sorted[(sorted.length - 1) >> 1];
}
