/** Notices that this process did not run for a while. */
import {waitFor} from './delay.js';
import type {Log} from './log.js';

const tickIntervalMs = 500;
/** A longer gap between two ticks counts as a pause. */
export const pauseLimitMs = 2_000;

export type PauseListener = (gapMs: number) => void;

/**
 * Compares the time between ticks with the interval. A process that was
 * stopped, or whose VM was, must not act on what it knew before.
 */
export class PauseDetector {
  private readonly listeners = new Set<PauseListener>();
  private pauses = 0;

  constructor(private readonly log: Log) {}

  /** Calls the listener after each pause, with its length. */
  subscribe(listener: PauseListener): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /** Number of pauses so far, for the dump. */
  countPauses(): number {
    return this.pauses;
  }

  /** Ticks until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const startedAtMs = performance.now();
      const wallStartedAtMs = Date.now();
      await waitFor(tickIntervalMs, signal);
      if (signal.aborted) return;
      // The monotonic clock may stand still while a VM is suspended.
      const gapMs = Math.max(
        performance.now() - startedAtMs,
        Date.now() - wallStartedAtMs,
      );
      if (gapMs <= pauseLimitMs) continue;
      this.pauses += 1;
      this.log.warn('this process was paused', {gapMs: Math.round(gapMs)});
      for (const listener of this.listeners) listener(gapMs);
    }
  }
}
