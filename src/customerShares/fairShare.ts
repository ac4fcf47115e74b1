/** Max-min fair division of what the customers of a tier get. */

/** What one customer uses and wants of a service, in the same unit. */
export interface CustomerDemand {
  readonly usage: number;
  /** Use, and the work that waits or was refused. */
  readonly demand: number;
}

/**
 * Returns the largest share that a customer may use: what all customers use
 * together, divided equally among them, where the parts that some don't want go
 * to the others. More demand of a customer never raises the share.
 *
 * @example
 * // One customer uses much more than the two others, one of which is refused.
 * computeFairShare([
 *   {usage: 70, demand: 100},
 *   {usage: 20, demand: 50},
 *   {usage: 10, demand: 10},
 * ]) === 45
 */
export function computeFairShare(customers: readonly CustomerDemand[]): number {
  let left = customers.reduce((sum, {usage}) => sum + usage, 0);
  const demands = customers.map(({demand}) => demand).sort((a, b) => a - b);
  for (const [index, demand] of demands.entries()) {
    const share = left / (demands.length - index);
    if (demand >= share) return share;
    left -= demand;
  }
  return Infinity;
}
