/** Percentile of recently measured times. */
import {build, type Histogram} from 'hdr-histogram-js';

/** Results cover the samples of the last one to two windows. */
const windowMs = 30_000;
/** Samples that are needed for a percentile. */
const minSamples = 20;
/** Time for which a result is cached. */
const resultCacheMs = 100;
const maxRecordedMs = 3_600_000;
/**
 * Histograms hold integers, so times are recorded in tenths of a millisecond.
 */
const unitsPerMs = 10;

/** Rotates two histograms, so that old samples expire. */
export class RecentPercentile {
  private current = buildHistogram();
  private previous = buildHistogram();
  private windowStartedAtMs = performance.now();
  private result: number | undefined;
  private computedAtMs = -Infinity;

  constructor(private readonly percentile: number) {}

  /** Adds a time in milliseconds. */
  add(ms: number): void {
    this.rotateHistograms();
    const value = Math.min(maxRecordedMs, Math.max(0, ms)) * unitsPerMs;
    this.current.recordValue(Math.round(value));
  }

  /** Returns milliseconds; undefined while there are too few samples. */
  compute(): number | undefined {
    const nowMs = performance.now();
    if (nowMs - this.computedAtMs < resultCacheMs) return this.result;
    this.rotateHistograms();
    this.computedAtMs = nowMs;
    const all = buildHistogram();
    all.add(this.current);
    all.add(this.previous);
    this.result =
      all.totalCount < minSamples
        ? undefined
        : all.getValueAtPercentile(this.percentile) / unitsPerMs;
    return this.result;
  }

  private rotateHistograms(): void {
    const nowMs = performance.now();
    const ageMs = nowMs - this.windowStartedAtMs;
    if (ageMs < windowMs) return;
    this.previous = ageMs < 2 * windowMs ? this.current : buildHistogram();
    this.current = buildHistogram();
    this.windowStartedAtMs = nowMs;
  }
}

function buildHistogram(): Histogram {
  return build({
    bitBucketSize: 32,
    autoResize: true,
    numberOfSignificantValueDigits: 2,
  });
}
