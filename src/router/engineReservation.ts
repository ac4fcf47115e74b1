/** Reserves engines for pause-sensitive streams. */
import type {Candidate} from './placement.js';

/**
 * Slots of a reserved engine that are planned for pause-sensitive streams, as a
 * ratio of all its slots.
 */
const reservedSlotRatio = 0.5;
/**
 * Minimum ratio of the engines that is reserved. A burst of pause-sensitive
 * streams has to find free slots before routers learn of each other's
 * placements.
 */
const minReservedRatio = 0.2;
/** A zone with fewer engines shares the reserved engines of the fleet. */
const minZoneEngines = 3;

/**
 * Reserves engines for pause-sensitive streams: the last ones of the shared
 * order in each zone, as many as the streams need. A zone with few engines does
 * not get its own, so that most engines stay free for long prompts.
 *
 * @param candidates - in the same order on all routers, which makes them
 *     reserve the same engines
 * @example
 * reserveEngines(engines).has(engines[engines.length - 1]) === true
 */
export function reserveEngines(
  candidates: readonly Candidate[],
): Set<Candidate> {
  const zones = new Map<string, Candidate[]>();
  for (const candidate of candidates) {
    const zone = zones.get(candidate.zone) ?? [];
    zone.push(candidate);
    zones.set(candidate.zone, zone);
  }
  const reserved = new Set<Candidate>();
  for (const zone of zones.values()) {
    if (zone.length < minZoneEngines) continue;
    for (const candidate of zone.slice(-countReserved(zone))) {
      reserved.add(candidate);
    }
  }
  const wanted = candidates.length > 0 ? countReserved(candidates) : 0;
  for (const candidate of [...candidates].reverse()) {
    if (reserved.size >= wanted) break;
    reserved.add(candidate);
  }
  return reserved;
}

/** Number of engines to reserve of a group, at least 1. */
function countReserved(engines: readonly Candidate[]): number {
  const streams = engines.reduce((sum, item) => sum + item.tightStreams, 1);
  const needed = Math.max(
    Math.ceil(streams / (engines[0].slots * reservedSlotRatio)),
    Math.round(engines.length * minReservedRatio),
  );
  return Math.min(needed, Math.max(1, engines.length - 1));
}
