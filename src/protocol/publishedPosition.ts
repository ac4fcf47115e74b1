/** Position in the history of what the platform publishes. */

/**
 * A state of what the platform publishes. When the platform is restored from an
 * old copy, its epoch rises, and revisions go back and are given out again.
 */
export interface PublishedPosition {
  readonly epoch: number;
  /** Grows with each change within an epoch. */
  readonly revision: number;
}

/**
 * True if a position is older than another.
 *
 * @example
 * isBefore({epoch: 1, revision: 900}, {epoch: 2, revision: 40}) === true
 */
export function isBefore(
  position: PublishedPosition,
  other: PublishedPosition,
): boolean {
  return position.epoch === other.epoch
    ? position.revision < other.revision
    : position.epoch < other.epoch;
}
