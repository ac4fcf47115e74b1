/** One request that waits for a slot. */
import {
  LeaseEventKind,
  type Acquire,
  type LeaseEvent,
} from '../protocol/leaseMessages.js';
import type {SchedulerEntry} from './classScheduler.js';

/** Longest delay of a timer of the runtime, in milliseconds. */
const maxTimerMs = 2 ** 31 - 1;

/** A grant or a refusal. */
export type FinalLeaseEvent = Exclude<
  LeaseEvent,
  {kind: LeaseEventKind.Queued}
>;

/** Waits for exactly one final event; later ones are ignored. */
export class WaitingEntry implements SchedulerEntry {
  readonly className: string;
  readonly customer: string;
  readonly enqueuedAtMs = Date.now();
  readonly deadlineAtMs: number;
  /** Last start that can still meet the target. */
  readonly latestStartAtMs: number;
  /** Resolves to the final event. */
  readonly settled: Promise<FinalLeaseEvent>;
  private resolve!: (event: FinalLeaseEvent) => void;
  private final: FinalLeaseEvent | undefined;
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
    return this.final !== undefined;
  }

  /** True when the final event is a grant. */
  get isGranted(): boolean {
    return this.final?.kind === LeaseEventKind.Granted;
  }

  /** Calls the handler when the deadline or the latest start passes. */
  watchExpiry(handler: () => void): void {
    this.watchTime(Math.min(this.deadlineAtMs, this.latestStartAtMs), handler);
  }

  /** Calls the handler when the deadline passes. */
  watchDeadline(handler: () => void): void {
    this.watchTime(this.deadlineAtMs, handler);
  }

  /** Sets the final event; false when there is one already. */
  settle(event: FinalLeaseEvent): boolean {
    if (this.final) return false;
    this.final = event;
    clearTimeout(this.timer);
    this.resolve(event);
    return true;
  }

  private watchTime(endAtMs: number, handler: () => void): void {
    clearTimeout(this.timer);
    const delayMs = Math.max(0, endAtMs - Date.now());
    // A longer delay would overflow and end at once.
    if (delayMs > maxTimerMs) return;
    this.timer = setTimeout(handler, delayMs).unref();
  }
}
