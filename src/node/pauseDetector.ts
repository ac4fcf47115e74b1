/** Detects pauses of this process, such as a stopped process or VM. */
import {waitFor} from './delay.js';
import type {Log} from './log.js';

const tickIntervalMs = 500;
/** A longer gap between two ticks counts as a pause. */
export const pauseLimitMs = 2_000;

export type PauseListener = (gapMs: number) => void;

/**
 * Detects pauses by the time between ticks. After a pause of the process or its
 * VM, the state that the process holds is outdated and must not be acted upon.
 */
export class PauseDetector {
  private readonly listeners = new Set<PauseListener>();
  private pauses = 0;

  constructor(private readonly log: Log) {}

  /**
   * Calls the listener after each pause, with the gap between the ticks.
   * Returns a function that unsubscribes.
   */
  subscribe(listener: PauseListener): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /** Returns the number of pauses so far, for the dump. */
  countPauses(): number {
    return this.pauses;
  }

  /** Checks for pauses until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const startedAtMs = performance.now();
      const startedAtWallMs = Date.now();
      await waitFor(tickIntervalMs, signal);
      if (signal.aborted) return;
      // The monotonic clock may not advance while a VM is suspended.
      const gapMs = Math.max(
        performance.now() - startedAtMs,
        Date.now() - startedAtWallMs,
      );
      if (gapMs <= pauseLimitMs) continue;
      this.pauses += 1;
      this.log.warn('this process was paused', {gapMs: Math.round(gapMs)});
      for (const listener of this.listeners) listener(gapMs);
    }
  }
}
