/** Expected starts of waiting requests. */
import type {ServiceTimes} from './serviceTimes.js';
import type {WaitingEntry} from './waitingEntry.js';

/** Retry hint while no service time is known, in milliseconds. */
const defaultRetryAfterMs = 1_000;
const minRetryAfterMs = 50;

/** Work in front of a waiting request. */
export interface WaitContext {
  /** Waiting entries in the order in which they will be granted. */
  order: readonly WaitingEntry[];
  /** Slots that serve the queue. */
  slots: number;
  nowMs: number;
}

/** Estimates waits from learned service times and the true grant order. */
export class WaitEstimator {
  constructor(private readonly serviceTimes: ServiceTimes) {}

  /**
   * Lists the entries that can't start in time. An entry counts only what is
   * granted before it; entries that are refused count for nobody. The first
   * entry of each class is bound by its deadline alone: if its target counted,
   * a class whose share is too small for its target would be refused always.
   */
  listUnreachable({order, slots, nowMs}: WaitContext): WaitingEntry[] {
    const unreachable: WaitingEntry[] = [];
    const classesSeen = new Set<string>();
    let aheadMs = 0;
    for (const entry of order) {
      const serviceMs = this.serviceTimes.estimateMs(entry.className);
      const isFirst = !classesSeen.has(entry.className);
      const endAtMs = isFirst ? entry.deadlineAtMs : entry.latestStartAtMs;
      // With all slots busy, one ends after a share of the service time.
      const startAtMs = nowMs + (aheadMs + serviceMs) / slots;
      if (startAtMs > endAtMs) {
        unreachable.push(entry);
        continue;
      }
      classesSeen.add(entry.className);
      aheadMs += serviceMs;
    }
    return unreachable;
  }

  /** Expected wait of an entry of the order. */
  estimateWaitMs({order, slots}: WaitContext, target: WaitingEntry): number {
    let aheadMs = 0;
    for (const entry of order) {
      aheadMs += this.serviceTimes.estimateMs(entry.className);
      if (entry === target) break;
    }
    return aheadMs / slots;
  }

  /** When a refused request may come again: after the queue has drained. */
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
