/** Bounds retries to a share of the requests. */

const requestShare = 0.1;
/** Retries allowed after a quiet time, and at the start. */
const maxSavedRetries = 3;

/**
 * Each request adds a tenth of a retry. A service that breaks every connection
 * then gets at most 10% more requests than its callers sent.
 *
 * @example
 * budget.noteRequest();
 * if (budget.tryTake()) await retry();
 */
export class ServiceRetryBudget {
  private retries = maxSavedRetries;

  /** Counts a request that a caller sent. */
  noteRequest(): void {
    this.retries = Math.min(maxSavedRetries, this.retries + requestShare);
  }

  /** Takes one retry; false when there is none. */
  tryTake(): boolean {
    if (this.retries < 1) return false;
    this.retries -= 1;
    return true;
  }
}
