/** Rendezvous (highest random weight) hashing. */
import {h32} from './hashFunctions.js';

/**
 * Sorts candidates by their weight for a key, highest first.
 *
 * Source: Thaler and Ravishankar, "Using name-based mappings to increase hit
 * rates", 1998.
 *
 * @example
 * const [owner] = sortByWeight('engine-7', dispatchers, d => d.incarnation);
 */
export function sortByWeight<T>(
  key: string,
  candidates: readonly T[],
  getId: (candidate: T) => string,
): T[] {
  return candidates
    .map(candidate => ({
      candidate,
      id: getId(candidate),
      weight: h32(`${key}\0${getId(candidate)}`),
    }))
    .sort((a, b) => b.weight - a.weight || (a.id < b.id ? -1 : 1))
    .map(({candidate}) => candidate);
}

/** Returns the candidate with the highest weight for a key. */
export function pickByWeight<T>(
  key: string,
  candidates: readonly T[],
  getId: (candidate: T) => string,
): T | undefined {
  let best: T | undefined;
  let bestId = '';
  let bestWeight = -1;
  for (const candidate of candidates) {
    const id = getId(candidate);
    const weight = h32(`${key}\0${id}`);
    if (weight < bestWeight) continue;
    if (weight === bestWeight && id > bestId) continue;
    best = candidate;
    bestId = id;
    bestWeight = weight;
  }
  return best;
}
