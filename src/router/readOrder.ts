/** Order in which routers read the published state. */

/**
 * In a fleet with relays, the state that a router has read reaches the others
 * through two of them. Routers that aren't relays start this many ranks later
 * in the read order to allow for the delay.
 */
const relayReadDelayRanks = 7;

/** Time in which a report of a read reaches all routers, in milliseconds. */
const reportPropagationMs = 500;
/** Delay per rank in the read order, in milliseconds. */
const staggerMs = 70;
/**
 * Ratio of `leaveBoundMs` at which each router reads for itself, whatever its
 * rank. The rest is left to the read and to the deployment, which is read next.
 */
const maxAgeRatio = 0.8;
/** Longest delay between failed reads of one router, in milliseconds. */
const maxRetryDelayMs = 5_000;

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

/**
 * Returns the age of the published state at which a router reads it because the
 * reading router seems to be lost, in milliseconds. Grows with the rank up to a
 * limit.
 *
 * @param readIntervalMs - time between the reads of the reading router
 * @param leaveBoundMs - time within which all routers must be up to date
 * @example
 * computeTakeoverAgeMs(0, 800, 2_000) === 1_300
 */
export function computeTakeoverAgeMs(
  rank: number,
  readIntervalMs: number,
  leaveBoundMs: number,
): number {
  const firstMs = readIntervalMs + reportPropagationMs;
  const spanMs = Math.max(0, leaveBoundMs * maxAgeRatio - firstMs);
  const rankMs = rank * staggerMs;
  return rankMs === 0 ? firstMs : firstMs + spanMs / (1 + spanMs / rankMs);
}

/**
 * Returns the shortest delay after a failed read, in milliseconds. While the
 * platform is down, those late in the order read less often.
 *
 * @example
 * computeRetryDelayMs(10) === 700
 */
export function computeRetryDelayMs(rank: number): number {
  return Math.min(maxRetryDelayMs, rank * staggerMs);
}
