/**
 * Ranks of requests at engines. Answers the pattern of engines with all slots
 * taken, which stop the least urgent request, the newest first: when requests
 * of different routes have the same rank, an urgent one may be stopped while a
 * less urgent one runs on.
 */
import type {Customer, Deployment, Route} from './deployment.js';

/** Ranks that engines tell apart, from 0, the most urgent. */
const rankCount = 10;

/**
 * Orders requests by the tier of the customer, which replaces the tier of the
 * route, and requests of one such tier by the route's own.
 *
 * @example
 * // Customers of tiers 0 and 1, routes of tiers 0 to 2:
 * new UrgencyScale(deployment).compute(route, customer) // 0 to 2, or 5 to 7
 */
export class UrgencyScale {
  private readonly firstTiers: number[];
  private readonly routeTiers: number[];

  constructor({routes, customers = []}: Deployment) {
    const ofRoutes = routes.map(({tier}) => tier);
    const ofCustomers = customers.flatMap(({tier}) => tier ?? []);
    this.routeTiers = sortDistinct(ofRoutes);
    this.firstTiers = sortDistinct([...ofCustomers, ...ofRoutes]);
  }

  /** Returns a rank from 0, the most urgent, to 9. */
  compute(route: Route, customer?: Customer): number {
    const firstIndex = this.firstTiers.indexOf(customer?.tier ?? route.tier);
    const width = Math.max(1, Math.floor(rankCount / this.firstTiers.length));
    const first = computePlace(
      firstIndex,
      this.firstTiers.length,
      rankCount / width,
    );
    const second = computePlace(
      this.routeTiers.indexOf(route.tier),
      this.routeTiers.length,
      width,
    );
    return first * width + second;
  }
}

function sortDistinct(tiers: readonly number[]): number[] {
  return [...new Set(tiers)].sort((a, b) => a - b);
}

/** Maps an index to as many places as there are, keeping the order. */
function computePlace(index: number, count: number, places: number): number {
  if (count <= places) return index;
  return Math.floor((index * Math.floor(places)) / count);
}
