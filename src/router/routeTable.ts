/** Finds the route and the customer of a request in one deployment. */
import type {
  Customer,
  Deployment,
  Route,
  WeightedService,
} from './deployment.js';
import {UrgencyScale} from './urgencyScale.js';

/**
 * Index over one version of the deployment.
 *
 * @example
 * const route = new RouteTable(deployment).findRoute('shop.example', '/a/b');
 */
export class RouteTable {
  private readonly routesByHost = new Map<string, Route[]>();
  private readonly customersByKey = new Map<string, Customer>();
  private readonly urgencies: UrgencyScale;

  constructor(readonly deployment: Deployment) {
    this.urgencies = new UrgencyScale(deployment);
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

  /** Returns the route with the longest prefix that begins the path. */
  findRoute(host: string, path: string): Route | undefined {
    const name = host.toLowerCase().replace(/:\d+$/, '');
    return this.routesByHost
      .get(name)
      ?.find(route => path.startsWith(route.pathPrefix));
  }

  findCustomer(key: string): Customer | undefined {
    return this.customersByKey.get(key);
  }

  /** Rank of a request at an engine from 0, the most urgent, to 9. */
  getUrgency(route: Route, customer?: Customer): number {
    return this.urgencies.compute(route, customer);
  }

  /** True when requests of routes that aren't public carry a key. */
  get requiresKeys(): boolean {
    return this.deployment.customers !== undefined;
  }
}

/**
 * Picks one of a route's services by weight.
 *
 * @param point - position in the weights, from 0 up to but not including 1
 * @example
 * pickService([{service: 'a', weight: 90}, {service: 'b', weight: 10}], 0.95) === 'b'
 */
export function pickService(
  split: readonly WeightedService[],
  point: number,
): string | undefined {
  const total = split.reduce((sum, {weight}) => sum + weight, 0);
  let rest = point * total;
  for (const {service, weight} of split) {
    rest -= weight;
    if (rest < 0) return service;
  }
  return split.at(-1)?.service;
}
