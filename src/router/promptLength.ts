/**
 * Which prompts are short. Answers the pattern of streams that pause: an engine
 * that reads a prompt sends the streams beside it nothing meanwhile, so what
 * counts is how long it reads against the pause that these streams may make.
 */
import type {RouteTable} from './routeTable.js';

/**
 * Part of the shortest pause that the reading of a short prompt may take, so that
 * several in a row still fit into it.
 */
const pausePart = 0.15;
/** Pause taken for services without streams that state one, in milliseconds. */
const unstatedPauseMs = 200;

/**
 * Prompts with fewer unread tokens are short.
 *
 * @param maxPauseMs - the shortest pause that a route to the engines allows
 * @example
 * computeShortTokens(60, 200) === 1_800
 */
export function computeShortTokens(
  readTokensPerMs: number,
  maxPauseMs = unstatedPauseMs,
): number {
  return readTokensPerMs * maxPauseMs * pausePart;
}

/** Shortest pause between events that routes to a service allow. */
export function findShortestPauseMs(
  table: RouteTable,
  service: string,
): number | undefined {
  const pauses = table.deployment.routes
    .filter(({split}) => split.some(part => part.service === service))
    .flatMap(({maxPauseMs}) => maxPauseMs ?? []);
  return pauses.length > 0 ? Math.min(...pauses) : undefined;
}
