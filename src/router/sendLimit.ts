/** Limit on the attempts of one request. */
import {BreakCause} from './breakCause.js';

/** Time before the deadline, in milliseconds, below which no attempt starts. */
export const minRemainingMs = 40;
/** Attempts of one request, including those that did not run. */
const maxSends = 6;

/** An attempt that has ended. */
export interface CountedAttempt {
  /** False if no connection to the server could be opened. */
  readonly isReached: boolean;
  /** True if the router knew before that the server accepts no connections. */
  readonly wasUnreachable: boolean;
}

/**
 * Counts the attempts of a request. One that reaches no server doesn't count,
 * because another server may be free, unless the router knew that the server
 * accepts no connections: else each request for a service that is down would
 * try all its servers.
 *
 * @example
 * const limit = new SendLimit();
 * limit.record({isReached: true, wasUnreachable: false});
 * limit.canSend(800) === true;
 */
export class SendLimit {
  private count = 0;

  /** Counts an attempt that has ended. */
  record({isReached, wasUnreachable}: CountedAttempt): void {
    if (isReached || wasUnreachable) this.count += 1;
  }

  /**
   * True when another attempt may start.
   *
   * @param remainingMs - time until the deadline of the request
   */
  canSend(remainingMs: number): boolean {
    return this.count < maxSends && remainingMs >= minRemainingMs;
  }

  /**
   * Tells why no server can be selected for the request.
   *
   * @param remainingMs - time until the deadline of the request
   */
  explainMissingServer(remainingMs: number): BreakCause {
    if (remainingMs < minRemainingMs) return BreakCause.Deadline;
    return this.count < maxSends
      ? BreakCause.NoServerLeft
      : BreakCause.SendLimit;
  }
}
