/** Selects VMs by the bandwidth of their network links. */

/**
 * Minimum bandwidth of a fast link as a ratio of the fastest one. A slower link
 * would be the bottleneck for large prompts.
 */
const minLinkRatio = 0.25;

/**
 * Returns the VMs with fast links, compared with the fastest one.
 *
 * @example
 * selectFastVms([{linkMbps: 140}, {linkMbps: 7}]) // the first one
 */
export function selectFastVms<T extends {readonly linkMbps: number}>(
  vms: readonly T[],
): T[] {
  const fastestMbps = findFastestMbps(vms);
  return vms.filter(({linkMbps}) => isFastLink(linkMbps, fastestMbps));
}

/** Returns the bandwidth of the fastest link in Mbit/s; 0 without VMs. */
export function findFastestMbps(
  vms: ReadonlyArray<{readonly linkMbps: number}>,
): number {
  return Math.max(0, ...vms.map(({linkMbps}) => linkMbps));
}

/** True for a fast link, compared with the fastest one. */
export function isFastLink(linkMbps: number, fastestMbps: number): boolean {
  return linkMbps >= fastestMbps * minLinkRatio;
}
