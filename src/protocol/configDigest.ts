/** Digest of configuration documents. */
import crypto from 'node:crypto';
import canonicalizeModule from 'canonicalize';

// With NodeNext resolution the package's types nest the default export once too
// often.
const canonicalize = canonicalizeModule as unknown as (
  value: unknown,
) => string | undefined;

/**
 * Returns the SHA-256 of a document in RFC 8785 canonical form, as hexadecimal.
 * It does not depend on the order of keys.
 *
 * @example
 * computeConfigDigest({b: 1, a: 2}) === computeConfigDigest({a: 2, b: 1})
 */
export function computeConfigDigest(document: unknown): string {
  const text = canonicalize(document) ?? '';
  return crypto.createHash('sha256').update(text).digest('hex');
}
