/** Order in which routers read the published state. */

/**
 * In a fleet with relays, the state that a router has read reaches the others
 * through two of them. Routers that aren't relays start this many ranks later
 * in the read order to allow for the delay.
 */
const relayReadDelayRanks = 7;

/** What a router knows of the fleet when it computes its rank. */
export interface ReadOrderView {
  /** IP address of this router. */
  readonly host: string;
  /** True while other routers report to this one as their relay. */
  readonly isRelay: boolean;
  /** IP addresses of the live relays. */
  readonly relays: readonly string[];
  /** IP addresses of the live routers. */
  readonly alive: readonly string[];
  /** True if this router has recently received a report. */
  readonly hasContact: boolean;
}

/**
 * Returns the position of a router in the order in which routers read the
 * published state: relays first, then the others, both sorted by address. All
 * routers with the same view of the fleet compute the same order. A router that
 * hears from no other doesn't wait for any, because it wouldn't learn what they
 * read.
 *
 * @example
 * computeReadRank({
 *   host: '10.0.0.2',
 *   isRelay: false,
 *   relays: [],
 *   alive: ['10.0.0.1', '10.0.0.3'],
 *   hasContact: true,
 * }) === 1
 */
export function computeReadRank({
  host,
  isRelay,
  relays,
  alive,
  hasContact,
}: ReadOrderView): number {
  if (!hasContact) return 0;
  const relayHosts = new Set(isRelay ? [...relays, host] : relays);
  const isBefore = (other: string) =>
    relayHosts.has(other) === isRelay ? other < host : !isRelay;
  const rank = alive.filter(isBefore).length;
  const readsAfterRelays = relayHosts.size > 0 && !isRelay;
  return readsAfterRelays ? rank + relayReadDelayRanks : rank;
}
