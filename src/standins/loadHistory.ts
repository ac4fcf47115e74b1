/** Load reports with a simulated lag. */
import type {LoadReport} from '../protocol/engineApi.js';

interface LoadChange {
  running: number;
  waiting: number;
  atMs: number;
}

/** Records the number of running and waiting requests over time. */
export class LoadHistory {
  private readonly changes: LoadChange[] = [];

  constructor(
    private readonly slots: number,
    private readonly lagMs: number,
  ) {
    this.record(0);
  }

  /** Records the current number of requests, running and waiting. */
  record(requests: number): void {
    const running = Math.min(requests, this.slots);
    const waiting = requests - running;
    const atMs = Date.now();
    const last = this.changes.at(-1);
    if (last?.running === running && last.waiting === waiting) return;
    this.changes.push({running, waiting, atMs});
    this.pruneBefore(atMs - this.lagMs);
  }

  /** Returns the load as it was `lagMs` ago. */
  report(): LoadReport {
    const takenAtMs = Date.now() - this.lagMs;
    this.pruneBefore(takenAtMs);
    const {running, waiting} = this.changes[0];
    return {running, waiting, slots: this.slots, takenAtMs};
  }

  /** Drops changes before a time, except the one in effect at that time. */
  private pruneBefore(timeMs: number): void {
    while (this.changes.length > 1 && this.changes[1].atMs <= timeMs) {
      this.changes.shift();
    }
  }
}
