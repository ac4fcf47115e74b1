/** A token bucket whose rate may change. */

export interface BucketRate {
  /** Tokens added per second. */
  perSecond: number;
  /** Most tokens that are kept. */
  capacity: number;
}

/** Fills over time; may be taken below zero by its user. */
export class TokenBucket {
  private tokens: number;
  private refilledAtMs = Date.now();

  constructor(initialTokens: number) {
    this.tokens = initialTokens;
  }

  /** Adds the tokens of the time since the last call; returns all. */
  refill({perSecond, capacity}: BucketRate): number {
    const nowMs = Date.now();
    const passedMs = Math.max(0, nowMs - this.refilledAtMs);
    this.refilledAtMs = nowMs;
    const added = (passedMs / 1_000) * perSecond;
    this.tokens = Math.min(capacity, this.tokens + added);
    return this.tokens;
  }

  /** Takes tokens; the rest may be negative, which delays the next. */
  take(tokens: number): void {
    this.tokens -= tokens;
  }
}
