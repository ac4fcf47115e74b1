/** Looks up the route and the customer of a request in a deployment. */
import type {
  Customer,
  Deployment,
  Route,
  WeightedService,
} from './deployment.js';
import {UrgencyScale} from './urgencyScale.js';

/**
 * Index of one version of the deployment.
 *
 * @example
 * const route = new RouteTable(deployment).findRoute('shop.example', '/a/b');
 */
export class RouteTable {
  private readonly routesByHost = new Map<string, Route[]>();
  private readonly customersByKey = new Map<string, Customer>();
  private readonly urgencyScale: UrgencyScale;

  constructor(readonly deployment: Deployment) {
    this.urgencyScale = new UrgencyScale(deployment);
    for (const route of deployment.routes) {
      const host = route.host.toLowerCase();
      const routes = this.routesByHost.get(host) ?? [];
      routes.push(route);
      this.routesByHost.set(host, routes);
    }
    for (const routes of this.routesByHost.values()) {
      routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    }
    for (const customer of deployment.customers ?? []) {
      for (const key of customer.keys) this.customersByKey.set(key, customer);
    }
  }

  /** Returns the route of the host with the longest matching path prefix. */
  findRoute(host: string, path: string): Route | undefined {
    const name = host.toLowerCase().replace(/:\d+$/, '');
    return this.routesByHost
      .get(name)
      ?.find(route => path.startsWith(route.pathPrefix));
  }

  findCustomer(key: string): Customer | undefined {
    return this.customersByKey.get(key);
  }

  /** Returns the rank of a request at an engine, from 0 (most urgent) to 9. */
  getUrgency(route: Route, customer?: Customer): number {
    return this.urgencyScale.computeRank(route, customer);
  }

  /** True when requests to non-public routes must carry a customer's key. */
  get requiresKeys(): boolean {
    return this.deployment.customers !== undefined;
  }
}

/**
 * Picks one of a route's services in proportion to the weights.
 *
 * @param point - position in the cumulative weights, in the range [0, 1)
 * @example
 * pickService([{service: 'a', weight: 90}, {service: 'b', weight: 10}], 0.95) === 'b'
 */
export function pickService(
  split: readonly WeightedService[],
  point: number,
): string | undefined {
  const totalWeight = split.reduce((sum, {weight}) => sum + weight, 0);
  let remainingWeight = point * totalWeight;
  for (const {service, weight} of split) {
    remainingWeight -= weight;
    if (remainingWeight < 0) return service;
  }
  return split.at(-1)?.service;
}
