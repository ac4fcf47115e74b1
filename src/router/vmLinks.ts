/** Which of several unlike VMs carry the most. */

/**
 * A VM counts as fast with at least this part of the bandwidth of the fastest
 * one; less would make its link the slowest step of a large prompt.
 */
const minLinkShare = 0.25;

/**
 * Keeps the VMs whose links are fast against the fastest one.
 *
 * @example
 * selectFast([{linkMbps: 140}, {linkMbps: 7}]) // the first one
 */
export function selectFast<T extends {readonly linkMbps: number}>(
  vms: readonly T[],
): T[] {
  const fastestMbps = Math.max(0, ...vms.map(({linkMbps}) => linkMbps));
  return vms.filter(({linkMbps}) => linkMbps >= fastestMbps * minLinkShare);
}

/** Bandwidth of all together in Mbit/s. */
export function sumLinks(
  vms: ReadonlyArray<{readonly linkMbps: number}>,
): number {
  return vms.reduce((sum, {linkMbps}) => sum + linkMbps, 0);
}
