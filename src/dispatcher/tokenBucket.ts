/** A token bucket whose rate may change. */

export interface BucketRate {
  /** Tokens added per second. */
  perSecond: number;
  /** Largest number of tokens that accumulate. */
  capacity: number;
}

/** Refills over time. Callers may take more tokens than there are. */
export class TokenBucket {
  private tokens: number;
  private refilledAtMs = Date.now();

  constructor(initialTokens: number) {
    this.tokens = initialTokens;
  }

  /** Adds the tokens accrued since the last call; returns the balance. */
  refill({perSecond, capacity}: BucketRate): number {
    const nowMs = Date.now();
    const passedMs = Math.max(0, nowMs - this.refilledAtMs);
    this.refilledAtMs = nowMs;
    const added = (passedMs / 1_000) * perSecond;
    this.tokens = Math.min(capacity, this.tokens + added);
    return this.tokens;
  }

  /** Takes tokens. A negative balance delays later callers. */
  take(tokens: number): void {
    this.tokens -= tokens;
  }
}
