/** Division of reports among bundles that each fit into a datagram. */

/**
 * Reports in one bundle, in bytes. A UDP datagram holds 65,507 bytes; the rest
 * is left to the addresses of up to 100 relays.
 */
const maxBundleBytes = 63_000;

/** A datagram of a relay with the host that sent it. */
export type BundlePart = [host: string, datagram: Uint8Array];

/**
 * Splits reports into as few bundles as their order allows.
 *
 * @example
 * splitIntoBundles([['10.0.0.1', own], ['10.0.1.1', other]])
 */
export function splitIntoBundles(parts: readonly BundlePart[]): BundlePart[][] {
  const bundles: BundlePart[][] = [];
  let bytes = Infinity;
  for (const part of parts) {
    bytes += part[1].length;
    if (bytes > maxBundleBytes) {
      bundles.push([]);
      bytes = part[1].length;
    }
    bundles.at(-1)!.push(part);
  }
  return bundles;
}
