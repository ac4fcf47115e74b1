/** One request that waits for a slot. */
import {
  LeaseEventKind,
  type Acquire,
  type LeaseEvent,
} from '../protocol/leaseMessages.js';
import type {SchedulerEntry} from './classScheduler.js';

/** Longest delay that `setTimeout` supports. */
const maxTimerDelayMs = 2 ** 31 - 1;

/** A grant or a refusal. */
export type FinalLeaseEvent = Exclude<
  LeaseEvent,
  {kind: LeaseEventKind.Queued}
>;

/** Settled by exactly one final event; later ones are ignored. */
export class WaitingEntry implements SchedulerEntry {
  readonly className: string;
  readonly customer: string;
  readonly enqueuedAtMs = Date.now();
  readonly deadlineAtMs: number;
  /** Latest start that can still meet the latency target. */
  readonly latestStartAtMs: number;
  /** Resolves to the final event. */
  readonly settled: Promise<FinalLeaseEvent>;
  private resolve!: (event: FinalLeaseEvent) => void;
  private finalEvent: FinalLeaseEvent | undefined;
  private timer: NodeJS.Timeout | undefined;

  constructor(readonly acquire: Acquire) {
    this.className = acquire.className;
    this.customer = acquire.customer;
    this.deadlineAtMs = this.enqueuedAtMs + acquire.deadlineMs;
    this.latestStartAtMs = this.enqueuedAtMs + acquire.latestStartMs;
    this.settled = new Promise(resolve => {
      this.resolve = resolve;
    });
  }

  /** True once the final event is known. */
  get isSettled(): boolean {
    return this.finalEvent !== undefined;
  }

  /** True when the final event is a grant. */
  get isGranted(): boolean {
    return this.finalEvent?.kind === LeaseEventKind.Granted;
  }

  /**
   * Calls the handler when the deadline or the latest start passes, whichever
   * is earlier.
   */
  startExpiryTimer(handler: () => void): void {
    this.startTimer(Math.min(this.deadlineAtMs, this.latestStartAtMs), handler);
  }

  /** Calls the handler when the deadline passes. */
  startDeadlineTimer(handler: () => void): void {
    this.startTimer(this.deadlineAtMs, handler);
  }

  /** Sets the final event; returns false if there already is one. */
  settle(event: FinalLeaseEvent): boolean {
    if (this.finalEvent) return false;
    this.finalEvent = event;
    clearTimeout(this.timer);
    this.resolve(event);
    return true;
  }

  private startTimer(endAtMs: number, handler: () => void): void {
    clearTimeout(this.timer);
    const delayMs = Math.max(0, endAtMs - Date.now());
    // A longer delay would overflow, and the timer would fire at once.
    if (delayMs > maxTimerDelayMs) return;
    this.timer = setTimeout(handler, delayMs).unref();
  }
}
