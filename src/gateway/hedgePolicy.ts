/** Decides whether and when a request is hedged. */
import {RecentPercentile} from './recentPercentile.js';
import {RequestBudget} from '../node/requestBudget.js';

/** Hedges allowed per request, and the largest burst of hedges. */
const hedgeBudget = {ratio: 0.05, burst: 3};
const hedgePercentile = 95;

/** Tracks the time to first token of each class and limits the hedging rate. */
export class HedgePolicy {
  private readonly classes = new Map<string, RecentPercentile>();
  private readonly budget: RequestBudget;

  constructor(budget = new RequestBudget(hedgeBudget)) {
    this.budget = budget;
  }

  /** Refills the budget for one caller's request. */
  noteRequest(): void {
    this.budget.refill();
  }

  /**
   * Adds an attempt's time to first token, or its time until it was abandoned.
   */
  noteFirstToken(className: string, firstTokenMs: number): void {
    let percentile = this.classes.get(className);
    if (!percentile) {
      percentile = new RecentPercentile(hedgePercentile);
      this.classes.set(className, percentile);
    }
    percentile.add(firstTokenMs);
  }

  /** Delay before a hedge is sent; undefined with too few samples. */
  getDelayMs(className: string): number | undefined {
    return this.classes.get(className)?.compute();
  }

  /** Takes one hedge from the budget. */
  take(): boolean {
    return this.budget.take();
  }

  /** Returns a hedge to the budget when no slot was free for it. */
  giveBack(): void {
    this.budget.giveBack();
  }

  /** State for the operators' dump. */
  describe(): object {
    const delays = [...this.classes].map(([name, percentile]) => [
      name,
      percentile.compute(),
    ]);
    return {
      budget: this.budget.describe(),
      delayMsByClass: Object.fromEntries(delays) as object,
    };
  }
}
