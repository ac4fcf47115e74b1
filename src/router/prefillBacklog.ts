/**
 * Work of the prompts that wait for prefill at an engine, by urgency rank. An
 * engine prefills the most urgent prompt first, so a prompt waits only for
 * those of its own and more urgent ranks.
 */

/** Work by rank; ranks after the last entry have none. */
export type PrefillBacklog = readonly number[];

export const emptyBacklog: PrefillBacklog = [];

/**
 * Sums the work of the ranks up to and including one.
 *
 * @example
 * sumBacklog([0, 4_000, 9_000], 1) === 4_000
 */
export function sumBacklog(
  backlog: PrefillBacklog,
  maxRank = Infinity,
): number {
  return backlog.reduce(
    (sum, work, rank) => (rank <= maxRank ? sum + work : sum),
    0,
  );
}

/**
 * Adds the work of one backlog to another, or subtracts it.
 *
 * @example
 * addBacklogs([1_000], [0, 2_000], 1) // [1_000, 2_000]
 */
export function addBacklogs(
  backlog: PrefillBacklog,
  other: PrefillBacklog,
  sign: 1 | -1,
): PrefillBacklog {
  if (other.length === 0) return backlog;
  const length = Math.max(backlog.length, other.length);
  return Array.from(
    {length},
    (_, rank) => (backlog[rank] ?? 0) + sign * (other[rank] ?? 0),
  );
}

/** Adds work to one rank. */
export function addWork(
  backlog: PrefillBacklog,
  rank: number,
  work: number,
): PrefillBacklog {
  const length = Math.max(backlog.length, rank + 1);
  return Array.from(
    {length},
    (_, index) => (backlog[index] ?? 0) + (index === rank ? work : 0),
  );
}

/** True when two backlogs have the same work in each rank. */
export function isSameBacklog(
  first: PrefillBacklog,
  second: PrefillBacklog,
): boolean {
  const length = Math.max(first.length, second.length);
  return Array.from({length}).every(
    (_, rank) => (first[rank] ?? 0) === (second[rank] ?? 0),
  );
}
