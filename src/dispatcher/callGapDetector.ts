/** Notices a pause of the process at the first call after it. */
import {pauseLimitMs} from '../node/pauseDetector.js';

/**
 * Expects calls more often than the limit. The member's `PauseDetector` ticks
 * on a timer, which may fire after the first message that arrived meanwhile.
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
