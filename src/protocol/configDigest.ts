/** Digest of configuration documents. */
import crypto from 'node:crypto';
import canonicalizeModule from 'canonicalize';

// The package's types describe a default export that NodeNext nests once more.
const canonicalize = canonicalizeModule as unknown as (
  value: unknown,
) => string | undefined;

/**
 * SHA-256 of a document's RFC 8785 form, hexadecimal.
 *
 * @example
 * computeConfigDigest({b: 1, a: 2}) === computeConfigDigest({a: 2, b: 1})
 */
export function computeConfigDigest(document: unknown): string {
  const text = canonicalize(document) ?? '';
  return crypto.createHash('sha256').update(text).digest('hex');
}
