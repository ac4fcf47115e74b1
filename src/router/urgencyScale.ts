/**
 * Urgency ranks of requests at engines. An engine with all slots in use
 * preempts the least urgent request, the newest first. If requests of different
 * routes shared a rank, an urgent one could be preempted while a less urgent
 * one runs on.
 */
import type {Customer, Deployment, Route} from './deployment.js';

/** Number of ranks that engines distinguish; 0 is the most urgent. */
export const urgencyRankCount = 10;

/**
 * Ranks requests by the customer's tier, or by the route's tier when the
 * customer has none, and requests of the same tier by the tier of their route.
 *
 * @example
 * // The deployment has customers of tiers 0 and 1, and routes of tiers 0 to 2.
 * // The rank is 0 to 2 for customers of tier 0, and 5 to 7 for tier 1.
 * new UrgencyScale(deployment).computeRank(route, customer)
 */
export class UrgencyScale {
  private readonly primaryTiers: number[];
  private readonly routeTiers: number[];

  constructor({routes, customers = []}: Deployment) {
    const tiersOfRoutes = routes.map(({tier}) => tier);
    const tiersOfCustomers = customers.flatMap(({tier}) => tier ?? []);
    this.routeTiers = sortDistinct(tiersOfRoutes);
    this.primaryTiers = sortDistinct([...tiersOfCustomers, ...tiersOfRoutes]);
  }

  /** Returns the rank of a request, from 0 (most urgent) to 9. */
  computeRank(route: Route, customer?: Customer): number {
    const primaryIndex = this.primaryTiers.indexOf(
      customer?.tier ?? route.tier,
    );
    const ranksPerTier = Math.max(
      1,
      Math.floor(urgencyRankCount / this.primaryTiers.length),
    );
    const primaryRank = scaleIndex(
      primaryIndex,
      this.primaryTiers.length,
      urgencyRankCount / ranksPerTier,
    );
    const secondaryRank = scaleIndex(
      this.routeTiers.indexOf(route.tier),
      this.routeTiers.length,
      ranksPerTier,
    );
    return primaryRank * ranksPerTier + secondaryRank;
  }
}

function sortDistinct(tiers: readonly number[]): number[] {
  return [...new Set(tiers)].sort((a, b) => a - b);
}

/** Maps an index below `count` to one below `rankLimit`, keeping the order. */
function scaleIndex(index: number, count: number, rankLimit: number): number {
  if (count <= rankLimit) return index;
  return Math.floor((index * Math.floor(rankLimit)) / count);
}
