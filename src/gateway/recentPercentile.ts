/** Percentile of recent times. */
import {build, type Histogram} from 'hdr-histogram-js';

/** Samples of the last one to two windows count. */
const windowMs = 30_000;
/** Fewer samples give no percentile. */
const minSamples = 20;
/** The percentile is computed at most this often. */
const resultLifeMs = 100;
const highestMs = 3_600_000;
/** Histograms hold whole numbers: tenths of a millisecond. */
const unitsPerMs = 10;

/** Rolls two histograms, so that old samples go out. */
export class RecentPercentile {
  private current = buildHistogram();
  private previous = buildHistogram();
  private startedAtMs = performance.now();
  private result: number | undefined;
  private computedAtMs = -Infinity;

  constructor(private readonly percentile: number) {}

  /** Adds a time in milliseconds. */
  add(ms: number): void {
    this.forgetOld();
    const value = Math.min(highestMs, Math.max(0, ms)) * unitsPerMs;
    this.current.recordValue(Math.round(value));
  }

  /** Returns milliseconds; undefined while there are too few samples. */
  compute(): number | undefined {
    const nowMs = performance.now();
    if (nowMs - this.computedAtMs < resultLifeMs) return this.result;
    this.forgetOld();
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

  private forgetOld(): void {
    const nowMs = performance.now();
    const ageMs = nowMs - this.startedAtMs;
    if (ageMs < windowMs) return;
    this.previous = ageMs < 2 * windowMs ? this.current : buildHistogram();
    this.current = buildHistogram();
    this.startedAtMs = nowMs;
  }
}

function buildHistogram(): Histogram {
  return build({
    bitBucketSize: 32,
    autoResize: true,
    numberOfSignificantValueDigits: 2,
  });
}
