/** Detects a pause of the process at the first call after it. */
import {pauseLimitMs} from '../node/pauseDetector.js';

/**
 * Treats a gap between calls that exceeds the limit as a pause, so it must be
 * called more often than that. The node's `PauseDetector` runs on a timer,
 * which may fire only after the first message that arrived during the pause.
 */
export class CallGapDetector {
  private lastMs: number | undefined;

  /** Returns the length of the pause before this call; 0 without a pause. */
  detect(nowMs: number): number {
    const gapMs = nowMs - (this.lastMs ?? nowMs);
    this.lastMs = nowMs;
    return gapMs > pauseLimitMs ? gapMs : 0;
  }
}
