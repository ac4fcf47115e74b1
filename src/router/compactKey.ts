/** 32-bit hashes that stand for names in the datagrams between routers. */
import {h32} from '../node/hashFunctions.js';

/** Size limit of the cache of computed keys; about 100 bytes each. */
const maxKeys = 50_000;
const keys = new Map<string, number>();

/**
 * Hashes a name to 32 bits. When two names collide, their loads and cached
 * prompts are merged; this makes placement worse and has no other effect.
 *
 * @example
 * computeCompactKey('engine-7')
 */
export function computeCompactKey(name: string): number {
  let key = keys.get(name);
  if (key === undefined) {
    if (keys.size >= maxKeys) keys.clear();
    key = h32(name);
    keys.set(name, key);
  }
  return key;
}
