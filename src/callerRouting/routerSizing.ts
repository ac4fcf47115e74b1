/**
 * How many routers callers are sent to. Callers choose among the offered
 * addresses at random, so that each router gets the same part of the traffic,
 * and the smallest capacity among the offered routers limits them all.
 */

/**
 * Highest ratio of its link that a router is to use. A second of traffic may be
 * twice the average, and the loss of one router of two doubles the traffic of
 * the other.
 */
const maxLinkUse = 0.5;
/**
 * Highest ratio of its processor. Each further router adds the work of its own
 * reports to the demand, and chooses servers by a view of its own, so that
 * others are added only where the processors are about to be overloaded: with
 * half of the processor, two routers with fast links grew to all of their zone.
 */
const maxProcessorUse = 0.8;

/** What a router can carry. */
export interface RouterCapacity {
  /** Bandwidth of the VM's link in each direction, in Mbit/s. */
  readonly linkMbps: number;
  /** Processor time per second, in cores of the reference machine. */
  readonly processorShare: number;
}

/** What the callers of a zone ask of its routers in total. */
export interface ZoneDemand {
  /**
   * Traffic between callers and routers, both directions added. A router passes
   * it on to backend servers, so that each direction of its link carries all
   * of it.
   */
  readonly kbps: number;
  /** Processor time in thousandths of a core. */
  readonly milliCores: number;
}

export enum Resource {
  Link = 'link',
  Processor = 'processor',
}

/** A number of routers, and how much of what it may use the smallest would use. */
export interface SizeUse {
  readonly size: number;
  /** Ratio of the part of the capacity that may be used; 1 is the limit. */
  readonly use: number;
  /** The resource of which most is used. */
  readonly resource: Resource;
}

/**
 * Returns the use for each number of routers, from 1.
 *
 * @param routers - in the order in which they are offered
 * @example
 * listUses([{linkMbps: 100, processorShare: 1}], {kbps: 25_000, milliCores: 0})
 * // [{size: 1, use: 0.5, resource: Resource.Link}]
 */
export function listUses(
  routers: readonly RouterCapacity[],
  {kbps, milliCores}: ZoneDemand,
): SizeUse[] {
  let linkMbps = Infinity;
  let processorShare = Infinity;
  return routers.map((router, index) => {
    const size = index + 1;
    linkMbps = Math.min(linkMbps, router.linkMbps);
    processorShare = Math.min(processorShare, router.processorShare);
    const linkUse = kbps / 1_000 / size / (linkMbps * maxLinkUse);
    const coresPerRouter = milliCores / 1_000 / size;
    const processorUse = coresPerRouter / (processorShare * maxProcessorUse);
    return linkUse > processorUse
      ? {size, use: linkUse, resource: Resource.Link}
      : {size, use: processorUse, resource: Resource.Processor};
  });
}

/** True if a number of routers suffices. */
export function isEnough({use}: SizeUse): boolean {
  return use <= 1;
}

/**
 * Chooses the smallest number of routers that suffices or, if none does, the
 * one with the least use.
 *
 * @param minSize - smallest number, at most that of all routers
 * @example
 * chooseSize(listUses(routers, demand), 2)?.size
 */
export function chooseSize(
  uses: readonly SizeUse[],
  minSize: number,
): SizeUse | undefined {
  const allowed = uses.filter(({size}) => size >= minSize);
  const least = Math.min(...allowed.map(({use}) => use));
  return allowed.find(isEnough) ?? allowed.find(({use}) => use === least);
}
