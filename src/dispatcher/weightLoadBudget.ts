/** This dispatcher's share of the load rate of the weight store. */
import {TokenBucket} from './tokenBucket.js';

/**
 * Limits the rate at which orders make engines load model weights. Loads are
 * charged when an order is sent. An order may need more loads than are left;
 * later orders then wait until the balance is positive again.
 */
export class WeightLoadBudget {
  private readonly bucket = new TokenBucket(1);

  /** `getRate` returns the loads per second of this dispatcher. */
  constructor(private readonly getRate: () => number) {}

  /** Takes the loads of an order; returns false if the budget is exhausted. */
  tryTake(loads: number): boolean {
    if (loads === 0) return true;
    const perSecond = this.getRate();
    const tokens = this.bucket.refill({
      perSecond,
      capacity: Math.max(1, perSecond),
    });
    // The tolerance absorbs rounding errors just below 1.
    if (tokens < 1 - 1e-9) return false;
    this.bucket.take(loads);
    return true;
  }
}
