/** Decides how far a request is suspected of crashing backend servers. */
import {waitFor} from '../node/delay.js';
import type {CrashSuspects} from './crashSuspects.js';

/**
 * Time from a broken connection until the suspect marks of a crash are known
 * here. A dispatcher collects the signs of a crash for at most 500 ms.
 */
const maxMarkDelayMs = 600;

/**
 * Combines the fleet's suspect marks with the failures that the session saw.
 */
export class RequestSuspicion {
  /** Attempts whose connection broke, perhaps because the server crashed. */
  private brokenAttempts = 0;

  constructor(
    private readonly suspects: CrashSuspects,
    readonly fingerprint: string,
  ) {}

  /** An attempt's connection broke. */
  noteBroken(): void {
    this.brokenAttempts += 1;
  }

  /**
   * Crashes that count against the request. A broken attempt counts as one
   * crash before the dispatcher's mark arrives; otherwise all requests that
   * were in flight during a crash would run side by side again. It never counts
   * as a second crash, which would have the request refused.
   */
  countCrashes(): number {
    const marks = this.suspects.countCrashes(this.fingerprint);
    return Math.max(marks, Math.min(this.brokenAttempts, 1));
  }

  /** Waits for marks if the last broken attempt may lead to a second one. */
  async waitForMarks(signal: AbortSignal): Promise<void> {
    const marks = this.suspects.countCrashes(this.fingerprint);
    if (marks === 0 || this.brokenAttempts < 2) return;
    await waitFor(maxMarkDelayMs, signal);
  }

  /** True when the request must not be run again. */
  isBlocked(): boolean {
    return this.suspects.hasReachedCrashLimit(this.fingerprint);
  }

  /** Milliseconds until the request may run again, if known. */
  getRemainingMs(): number | undefined {
    return this.suspects.getRemainingMs?.(this.fingerprint);
  }
}
