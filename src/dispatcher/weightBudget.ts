/** Share of the weight store's rate that this dispatcher may use. */
import {TokenBucket} from './tokenBucket.js';

/**
 * Loads are counted when an order is sent. An order may need more loads than
 * are left; the next ones then wait until the debt is paid.
 */
export class WeightBudget {
  private readonly bucket = new TokenBucket(1);

  /** Returns the loads per second of this dispatcher. */
  constructor(private readonly getRate: () => number) {}

  /** Takes the loads of an order; false while the budget is spent. */
  take(loads: number): boolean {
    if (loads === 0) return true;
    const perSecond = this.getRate();
    const tokens = this.bucket.refill({
      perSecond,
      capacity: Math.max(1, perSecond),
    });
    // Sums of small parts of a token end just below 1.
    if (tokens < 1 - 1e-9) return false;
    this.bucket.take(loads);
    return true;
  }
}
