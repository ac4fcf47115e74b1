/** Token bucket that is refilled by requests instead of by time. */

export interface RequestBudgetOptions {
  /** Fraction of a token that each request adds. */
  ratio: number;
  /** Capacity in tokens. */
  burst: number;
  /** Tokens at the start; by default the bucket starts full. */
  initial?: number;
}

/**
 * Limits extra work, such as retries, to a fraction of the requests.
 *
 * @example
 * const retries = new RequestBudget({ratio: 0.1, burst: 20});
 * retries.refill();
 * if (retries.take()) await retry();
 */
export class RequestBudget {
  private tokens: number;
  private burst: number;

  constructor(private readonly options: RequestBudgetOptions) {
    this.tokens = Math.min(options.burst, options.initial ?? options.burst);
    this.burst = options.burst;
  }

  /** Adds the fraction of a token due for one request of a caller. */
  refill(): void {
    this.add(this.options.ratio);
  }

  /** Adds tokens independently of requests. */
  add(tokens: number): void {
    this.tokens = Math.min(this.burst, this.tokens + tokens);
  }

  /** Sets a new capacity; tokens above it are dropped. */
  resize(burst: number): void {
    this.burst = burst;
    this.tokens = Math.min(burst, this.tokens);
  }

  /** Takes one token; returns false when there is none. */
  take(): boolean {
    // Tolerance for rounding: adding 0.1 ten times gives slightly less than 1.
    if (this.tokens < 1 - 1e-9) return false;
    this.tokens = Math.max(0, this.tokens - 1);
    return true;
  }

  /** Returns a token that was taken but not used. */
  giveBack(): void {
    this.tokens = Math.min(this.burst, this.tokens + 1);
  }

  /** Returns the number of tokens left, for the dump. */
  describe(): number {
    return this.tokens;
  }
}
