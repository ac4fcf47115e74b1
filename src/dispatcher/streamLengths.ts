/** Tracks the lengths of streams, to detect unusually long ones. */

/** Assumed median until enough streams have ended, in tokens. */
export const initialMedianTokens = 256;
/** A stream is long when it exceeds the median by this factor. */
export const longStreamFactor = 4;
/** Number of latest streams over which a median is taken. */
const windowSize = 64;
/** With fewer streams, the median of the class or the initial one is used. */
const minStreams = 8;
/** Keys are forgotten, least recently used first, above this number. */
const maxKeys = 5_000;

interface LengthWindow {
  lengths: number[];
  /** Index at which the next length is stored. */
  next: number;
  /** Cached; undefined after a change of the lengths. */
  median: number | undefined;
}

/**
 * Moving medians of stream lengths per class and customer. With too few streams
 * of a customer, the median of the class is used.
 */
export class StreamLengths {
  private readonly windows = new Map<string, LengthWindow>();

  /** Records the length of a stream that completed. */
  record(className: string, customer: string, tokens: number): void {
    addLength(this.touchWindow(buildKey(className)), tokens);
    addLength(this.touchWindow(buildKey(className, customer)), tokens);
  }

  /** Median length in tokens. */
  getMedian(className: string, customer: string): number {
    return (
      this.findMedian(buildKey(className, customer)) ??
      this.findMedian(buildKey(className)) ??
      initialMedianTokens
    );
  }

  /** True if a stream is long for its class and customer. */
  isLong(className: string, customer: string, tokens: number): boolean {
    return tokens > longStreamFactor * this.getMedian(className, customer);
  }

  /** State for the operators' dump. */
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

  /** Returns the window of a key, which becomes the most recently used. */
  private touchWindow(key: string): LengthWindow {
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
