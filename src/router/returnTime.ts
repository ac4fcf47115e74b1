/** When a refused caller should come back. */

/** Usual time, in milliseconds; a place at a server is free again by then. */
const usualMs = 400;
/** Callers come back at times between this part of it and one more. */
const firstPart = 0.75;

/**
 * Spreads callers, so that they don't return all at once.
 *
 * @param holdOffMs - time until a server wants requests again; 0 when they do
 * @param draw - source of random numbers from 0 to 1
 * @example
 * estimateReturnMs(2_000, () => 0.5) === 2_200
 */
export function estimateReturnMs(
  holdOffMs: number,
  draw: () => number,
): number {
  return holdOffMs > 0
    ? holdOffMs + usualMs * draw()
    : usualMs * (firstPart + draw());
}
