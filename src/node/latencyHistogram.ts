/** Latency histogram for the dump. */
import {build, type Histogram} from 'hdr-histogram-js';

const maxRecordedMs = 3_600_000;
/** The histogram stores integers, here tenths of a millisecond. */
const unitsPerMs = 10;

/** Percentiles in milliseconds. */
export interface LatencySummary {
  count: number;
  p50Ms: number;
  p95Ms: number;
  p99Ms: number;
  maxMs: number;
}

/** Histogram of durations since the start of the process. */
export class LatencyHistogram {
  private readonly histogram: Histogram;

  /** @param digits - significant digits; one takes less than 1 KB */
  constructor(digits: 1 | 2) {
    this.histogram = build({
      bitBucketSize: 32,
      autoResize: true,
      numberOfSignificantValueDigits: digits,
    });
  }

  record(ms: number): void {
    const value = Math.min(maxRecordedMs, Math.max(0, ms)) * unitsPerMs;
    this.histogram.recordValue(Math.round(value));
  }

  describe(): LatencySummary {
    const getPercentileMs = (percentile: number) =>
      this.histogram.getValueAtPercentile(percentile) / unitsPerMs;
    return {
      count: this.histogram.totalCount,
      p50Ms: getPercentileMs(50),
      p95Ms: getPercentileMs(95),
      p99Ms: getPercentileMs(99),
      maxMs: this.histogram.maxValue / unitsPerMs,
    };
  }
}
