/**
 * Which prompts are short. Answers the pattern of streams that pause: an engine
 * that reads a prompt sends the streams beside it nothing meanwhile, so what
 * counts is how long it reads against the pause that these streams may make.
 */
import type {RouteTable} from './routeTable.js';
import {streamParts} from './serverLoad.js';

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

/**
 * How steeply the harm of pauses falls with the pause that a stream may make: it
 * takes several prompts that are read one after another to make a long one.
 * Measured beside 2 and 8 (docs/measurements.md).
 */
const pauseExponent = 4;

/**
 * Weight of a stream against pauses: 1 with the shortest pause of its service,
 * and less with a longer one.
 *
 * @param maxPauseMs - undefined for answers that aren't streams
 * @example
 * computePauseWeight(250, 400) === 0.125
 */
export function computePauseWeight(
  shortestMs = unstatedPauseMs,
  maxPauseMs?: number,
): number {
  if (maxPauseMs === undefined) return 0;
  const weight = Math.min(1, (shortestMs / maxPauseMs) ** pauseExponent);
  return Math.round(weight * streamParts) / streamParts;
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
