/** Learned lengths of streams, to tell the long ones. */

/** Assumed median until enough streams have ended, in tokens. */
export const initialMedianTokens = 256;
/** A stream is long when it exceeds the median by this factor. */
export const longStreamFactor = 4;
/** Streams over which a median is taken. */
const windowSize = 64;
/** With fewer streams the median of the class is used. */
const minStreams = 8;
/** Keys are forgotten, least recently used first, above this number. */
const maxKeys = 5_000;

interface LengthWindow {
  lengths: number[];
  next: number;
  /** Recomputed after a change of the lengths. */
  median: number | undefined;
}

/**
 * Running medians of stream lengths per class and customer. Without enough
 * streams of the customer, those of the class count.
 */
export class StreamLengths {
  private readonly windows = new Map<string, LengthWindow>();

  /** Adds the length of a stream that ended by itself. */
  record(className: string, customer: string, tokens: number): void {
    addLength(this.getWindow(buildKey(className)), tokens);
    addLength(this.getWindow(buildKey(className, customer)), tokens);
  }

  /** Median length in tokens. */
  getMedian(className: string, customer: string): number {
    return (
      this.findMedian(buildKey(className, customer)) ??
      this.findMedian(buildKey(className)) ??
      initialMedianTokens
    );
  }

  /** True when a stream has become long. */
  isLong(className: string, customer: string, tokens: number): boolean {
    return tokens > longStreamFactor * this.getMedian(className, customer);
  }

  /** State for the dump. */
  describe(): object {
    return Object.fromEntries(
      [...this.windows].map(([key, {lengths}]) => [
        key,
        {streams: lengths.length, median: this.findMedian(key)},
      ]),
    );
  }

  private findMedian(key: string): number | undefined {
    const window = this.windows.get(key);
    if (!window || window.lengths.length < minStreams) return undefined;
    window.median ??= computeMedian(window.lengths);
    return window.median;
  }

  private getWindow(key: string): LengthWindow {
    const window = this.windows.get(key) ?? {
      lengths: [],
      next: 0,
      median: undefined,
    };
    this.windows.delete(key);
    this.windows.set(key, window);
    if (this.windows.size > maxKeys) {
      const [oldest] = this.windows.keys();
      this.windows.delete(oldest);
    }
    return window;
  }
}

function buildKey(className: string, customer?: string): string {
  return customer === undefined ? className : `${className} ${customer}`;
}

function addLength(window: LengthWindow, tokens: number): void {
  window.lengths[window.next] = tokens;
  window.next = (window.next + 1) % windowSize;
  window.median = undefined;
}

function computeMedian(lengths: readonly number[]): number {
  const sorted = [...lengths].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)];
}
