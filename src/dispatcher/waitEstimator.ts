/** Estimates when waiting requests will start. */
import type {ServiceTimes} from './serviceTimes.js';
import type {WaitingEntry} from './waitingEntry.js';

/** Suggested retry delay while no service time is known. */
const defaultRetryAfterMs = 1_000;
const minRetryAfterMs = 50;

/** State of a queue that estimates are based on. */
export interface WaitContext {
  /** Waiting entries in the order in which they will be granted. */
  order: readonly WaitingEntry[];
  /** Number of slots that serve the queue. */
  slots: number;
  nowMs: number;
}

/** Estimates waits from past service times and the actual grant order. */
export class WaitEstimator {
  constructor(private readonly serviceTimes: ServiceTimes) {}

  /**
   * Lists the entries that can't start in time. Only the work that is granted
   * before an entry counts for it, without entries that are listed themselves.
   * The first entry of each class is bound by its deadline alone: if its
   * latency target counted, a class whose share is too small for its target
   * would always be refused.
   */
  listTargetUnreachable({order, slots, nowMs}: WaitContext): WaitingEntry[] {
    const unreachable: WaitingEntry[] = [];
    const classesSeen = new Set<string>();
    let aheadMs = 0;
    for (const entry of order) {
      const serviceMs = this.serviceTimes.estimateMs(entry.className);
      const isFirst = !classesSeen.has(entry.className);
      const latestAtMs = isFirst ? entry.deadlineAtMs : entry.latestStartAtMs;
      // With all slots busy, one becomes free after `serviceMs / slots`.
      const startAtMs = nowMs + (aheadMs + serviceMs) / slots;
      if (startAtMs > latestAtMs) {
        unreachable.push(entry);
        continue;
      }
      classesSeen.add(entry.className);
      aheadMs += serviceMs;
    }
    return unreachable;
  }

  /** Expected wait of an entry of `order`. */
  estimateWaitMs({order, slots}: WaitContext, target: WaitingEntry): number {
    let aheadMs = 0;
    for (const entry of order) {
      aheadMs += this.serviceTimes.estimateMs(entry.className);
      if (entry === target) break;
    }
    return aheadMs / slots;
  }

  /**
   * Delay after which a refused request may be retried: the time in which the
   * queue drains.
   */
  estimateRetryAfterMs(
    waiting: readonly WaitingEntry[],
    slots: number,
  ): number {
    let workMs = 0;
    for (const {className} of waiting) {
      workMs += this.serviceTimes.estimateMs(className);
    }
    if (workMs === 0) return defaultRetryAfterMs;
    return Math.ceil(Math.max(minRetryAfterMs, workMs / slots));
  }
}
