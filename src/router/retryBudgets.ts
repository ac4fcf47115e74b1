/** This router's part of the fleet's budget of repeated sends. */
import {RequestBudget} from '../node/requestBudget.js';

/** Part of the fleet's budget that is used. */
const budgetUse = 0.8;
/** A router that knows few others yet may be one of many. */
const minRouters = 6;
const secondMs = 1_000;

/** Budget of the whole fleet for one service. */
export interface FleetRetryLimits {
  /** Part of the requests that may be sent again. */
  readonly ratio: number;
  /** Requests sent again beyond the ratio in one window. */
  readonly slack: number;
  readonly windowSeconds: number;
}

/**
 * One budget for each service. In any window a router spends at most its part
 * of the slack: half of it is held, half comes back during the window.
 *
 * @example
 * if (budgets.get('pen-models').take()) await retry();
 */
export class RetryBudgets {
  private readonly budgets = new Map<string, RequestBudget>();

  /** @param countRouters - routers of the fleet that are known, this one too */
  constructor(
    private readonly getLimits: () => FleetRetryLimits,
    private readonly countRouters: () => number,
  ) {}

  get(service: string): RequestBudget {
    let budget = this.budgets.get(service);
    if (!budget) {
      const ratio = this.getLimits().ratio * budgetUse;
      budget = new RequestBudget({ratio, burst: this.computeSlack()});
      this.budgets.set(service, budget);
    }
    return budget;
  }

  /** Lists requests that may be sent again now, by service. */
  list(): Array<[service: string, left: number]> {
    return [...this.budgets].map(([service, budget]) => [
      service,
      budget.describe(),
    ]);
  }

  /** Adds what comes back in a part of the window. */
  refill(elapsedMs: number): void {
    const slack = this.computeSlack();
    const {ratio, windowSeconds} = this.getLimits();
    const windowMs = windowSeconds * secondMs;
    for (const budget of this.budgets.values()) {
      // A budget that is almost at one token takes a whole request's part.
      budget.resize(Math.max(1 + ratio * budgetUse, slack));
      budget.add((slack * elapsedMs) / windowMs);
    }
  }

  private computeSlack(): number {
    const routers = Math.max(minRouters, this.countRouters());
    return (this.getLimits().slack * budgetUse) / 2 / routers;
  }
}
