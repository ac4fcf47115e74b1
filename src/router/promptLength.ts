/**
 * Classifies prompts as short and weighs the sensitivity of streams to pauses.
 * An engine sends nothing on its streams while it prefills a prompt, so a
 * prompt is short when its prefill time is small compared with the pause that
 * concurrent streams tolerate.
 */
import type {RouteTable} from './routeTable.js';
import {pauseWeightDenominator} from './serverLoad.js';

/**
 * Maximum prefill time of a short prompt as a ratio of the shortest tolerated
 * pause, so that several prefills in a row still fit into it.
 */
const shortPromptPauseRatio = 0.15;
/** Assumed for services whose routes set no `maxPauseMs`. */
export const defaultMaxPauseMs = 200;

/**
 * Computes the number of tokens left to prefill below which a prompt is short.
 *
 * @param maxPauseMs - shortest pause tolerated by the routes to the service
 * @example
 * computeShortPromptTokenLimit(60, 200) === 1_800
 */
export function computeShortPromptTokenLimit(
  prefillTokensPerMs: number,
  maxPauseMs = defaultMaxPauseMs,
): number {
  return prefillTokensPerMs * maxPauseMs * shortPromptPauseRatio;
}

/**
 * Exponent by which the pause weight falls with the pause that a stream
 * tolerates. It is steep because only several prefills in a row cause a long
 * pause.
 */
const pauseExponent = 4;

/**
 * Computes the sensitivity of a stream to pauses: 1 when it tolerates only the
 * shortest pause of its service, less when it tolerates a longer one.
 *
 * @param shortestPauseMs - shortest pause tolerated by the service's routes
 * @param maxPauseMs - pause that the stream tolerates; undefined for answers
 *     that are not streams
 * @example
 * computePauseWeight(250, 400) === 0.125
 */
export function computePauseWeight(
  shortestPauseMs = defaultMaxPauseMs,
  maxPauseMs?: number,
): number {
  if (maxPauseMs === undefined) return 0;
  const weight = Math.min(1, (shortestPauseMs / maxPauseMs) ** pauseExponent);
  return Math.round(weight * pauseWeightDenominator) / pauseWeightDenominator;
}

/** Returns the shortest `maxPauseMs` of the routes to a service. */
export function findShortestPauseMs(
  table: RouteTable,
  service: string,
): number | undefined {
  const pauses = table.deployment.routes
    .filter(({split}) => split.some(part => part.service === service))
    .flatMap(({maxPauseMs}) => maxPauseMs ?? []);
  return pauses.length > 0 ? Math.min(...pauses) : undefined;
}
