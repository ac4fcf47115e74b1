/** Histograms and counters of a dispatcher, for its dump. */
import {build, type Histogram} from 'hdr-histogram-js';
import type {LeaseRefusal} from '../protocol/leaseMessages.js';

/** Longer times are recorded as this value. */
const maxTrackedMs = 3_600_000;
const significantDigits = 2;
/** Bounds the memory used for classes that are no longer configured. */
const maxClasses = 200;

/** Times of one class. */
interface ClassTimes {
  /** From arrival to grant. */
  queueWait: Histogram;
  /** From grant to release. */
  held: Histogram;
}

/** Summary of a histogram, in milliseconds. */
interface TimeSummary {
  count: number;
  p50: number;
  p95: number;
  p99: number;
  max: number;
}

/** Records grants, releases, refusals and cancellations. */
export class LeaseStats {
  private readonly byClass = new Map<string, ClassTimes>();
  private readonly refusals = new Map<LeaseRefusal, number>();
  private cancelled = 0;

  recordGrant(className: string, waitMs: number): void {
    recordTime(this.getTimes(className).queueWait, waitMs);
  }

  /** Records the time for which a lease was held. */
  recordHeldTime(className: string, heldMs: number): void {
    recordTime(this.getTimes(className).held, heldMs);
  }

  recordRefusal(refusal: LeaseRefusal): void {
    this.refusals.set(refusal, (this.refusals.get(refusal) ?? 0) + 1);
  }

  /** Counts an acquisition that its gateway cancelled. */
  recordCancel(): void {
    this.cancelled += 1;
  }

  /** State for the operators' dump. */
  describe(): object {
    return {
      refusals: Object.fromEntries(this.refusals),
      cancelled: this.cancelled,
      classes: Object.fromEntries(
        [...this.byClass].map(([name, {queueWait, held}]) => [
          name,
          {queueWaitMs: buildSummary(queueWait), heldMs: buildSummary(held)},
        ]),
      ),
    };
  }

  private getTimes(className: string): ClassTimes {
    const known = this.byClass.get(className);
    if (known) return known;
    if (this.byClass.size >= maxClasses) this.byClass.clear();
    const times = {queueWait: buildHistogram(), held: buildHistogram()};
    this.byClass.set(className, times);
    return times;
  }
}

function buildHistogram(): Histogram {
  return build({
    highestTrackableValue: maxTrackedMs,
    numberOfSignificantValueDigits: significantDigits,
  });
}

function recordTime(histogram: Histogram, timeMs: number): void {
  // Times are negative when the clock was set back.
  const valueMs = Math.round(Math.max(0, timeMs));
  histogram.recordValue(Math.min(valueMs, maxTrackedMs));
}

function buildSummary(histogram: Histogram): TimeSummary {
  return {
    count: histogram.totalCount,
    p50: histogram.getValueAtPercentile(50),
    p95: histogram.getValueAtPercentile(95),
    p99: histogram.getValueAtPercentile(99),
    max: histogram.maxValue,
  };
}
