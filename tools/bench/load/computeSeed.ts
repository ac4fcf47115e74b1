/** Seeds of the load's random choices. */
import crypto from 'node:crypto';

/**
 * Derives a seed from names and numbers, so that each source of random choices
 * has a generator of its own and adding one doesn't change the others.
 *
 * @example
 * new SeededRandom(computeSeed(42, 'crest', 'question', 'customer-1'))
 */
export function computeSeed(...parts: (string | number)[]): number {
  const digest = crypto.createHash('sha256').update(parts.join('\0')).digest();
  return digest.readInt32LE(0);
}
