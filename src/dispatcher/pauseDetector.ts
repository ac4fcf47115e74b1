/** Detects that the process was paused. */

/** A gap between two calls that counts as a pause. */
export const pauseThresholdMs = 2_000;

/** Expects a call more often than the threshold. */
export class PauseDetector {
  private lastMs: number | undefined;

  /** Returns the length of the pause before this call; 0 without a pause. */
  detect(nowMs: number): number {
    const gapMs = nowMs - (this.lastMs ?? nowMs);
    this.lastMs = nowMs;
    return gapMs > pauseThresholdMs ? gapMs : 0;
  }
}
