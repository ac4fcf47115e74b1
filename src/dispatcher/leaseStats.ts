/** Histograms and counts of a dispatcher, for its dump. */
import {build, type Histogram} from 'hdr-histogram-js';
import type {LeaseRefusal} from '../protocol/leaseMessages.js';

/** Longest time that is told apart, in milliseconds. */
const maxTrackedMs = 3_600_000;
const significantDigits = 2;
/** Classes that the configuration dropped must not add up. */
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

  /** Records a grant after a wait. */
  recordGrant(className: string, waitMs: number): void {
    recordTime(this.getTimes(className).queueWait, waitMs);
  }

  /** Records the end of a lease. */
  recordHeld(className: string, heldMs: number): void {
    recordTime(this.getTimes(className).held, heldMs);
  }

  /** Counts a refusal. */
  recordRefusal(refusal: LeaseRefusal): void {
    this.refusals.set(refusal, (this.refusals.get(refusal) ?? 0) + 1);
  }

  /** Counts an acquisition that its gateway took back. */
  recordCancel(): void {
    this.cancelled += 1;
  }

  /** State for the dump. */
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
  // A clock that is set back gives negative times.
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
