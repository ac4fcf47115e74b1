/** Fast non-cryptographic hash functions, compiled once for all modules. */
import xxhash from 'xxhash-wasm';

/**
 * xxHash of a text (`h32`) or of bytes (`h32Raw`), as an unsigned 32-bit number.
 *
 * @example
 * h32('engine-7', 0)
 */
export const {h32, h32Raw} = await xxhash();
