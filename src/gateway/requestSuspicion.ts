/** What counts against one request after crashes of backend servers. */
import {waitFor} from '../node/delay.js';
import type {CrashSuspects} from './crashSuspects.js';

/**
 * Time from a broken connection until the marks of a crash are known here. A
 * dispatcher collects the signs of a crash for 500 ms at most.
 */
const crashVerdictMs = 600;

/** Combines the members' marks with what the request's session saw itself. */
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
   * Crashes that count against the request. A broken attempt counts before
   * the dispatcher's mark arrives, or all requests of a crash would run side
   * by side again; but never as the second one, which would make it guilty.
   */
  countCrashes(): number {
    const marks = this.suspects.countCrashes(this.fingerprint);
    return Math.max(marks, Math.min(this.brokenAttempts, 1));
  }

  /** Waits when the last broken attempt may bring a second mark. */
  async waitForMarks(signal: AbortSignal): Promise<void> {
    const marks = this.suspects.countCrashes(this.fingerprint);
    if (marks === 0 || this.brokenAttempts < 2) return;
    await waitFor(crashVerdictMs, signal);
  }

  /** True when the request must not run any more. */
  isGuilty(): boolean {
    return this.suspects.isGuilty(this.fingerprint);
  }

  /** Milliseconds until it may run again, where that is known. */
  getRemainingMs(): number | undefined {
    return this.suspects.getRemainingMs?.(this.fingerprint);
  }
}
