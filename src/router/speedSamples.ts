/** Samples of the speed of a server from the requests that it has served. */
import type {SpeedSample} from '../serverSpeed/speedEstimate.js';
import {firstEventOverheadMs, minSampleWork} from './engineModel.js';
import type {Selection} from './selection.js';

/** What is known of a request once its server has worked on it. */
export interface ServedRequest {
  /**
   * Time from sending the request to its first event or its answer, in
   * milliseconds. It doesn't contain the wait for a connection.
   */
  readonly ms: number;
  /** Slowness of the moment that the answer stated. */
  readonly slowness: number;
}

/** The estimates that a sample of an engine depends on. */
export type EngineEstimates = Pick<
  Selection,
  'prefillWork' | 'backlogWork' | 'expectedMs' | 'promptPrefillMs' | 'backlogMs'
>;

/**
 * Builds the sample of a first event. There is none where the engine had little
 * to prefill, or where the prompt was expected to wait longer for a slot or a
 * copy of KV cache than for prefills.
 *
 * @example
 * const sample = buildFirstEventSample(selection, {ms: 240, slowness: 1.2});
 */
export function buildFirstEventSample(
  selection: EngineEstimates,
  {ms, slowness}: ServedRequest,
): SpeedSample | undefined {
  const {prefillWork, backlogWork} = selection;
  if (prefillWork + backlogWork < minSampleWork) return undefined;
  const expectedMs = selection.promptPrefillMs + selection.backlogMs;
  const otherMs = computeOtherWaitMs(selection);
  if (otherMs > expectedMs) return undefined;
  return {
    work: prefillWork,
    workBefore: backlogWork,
    ms: ms - firstEventOverheadMs - otherMs,
    expectedMs,
    slowness,
  };
}

/**
 * Computes the part of the expected wait in which the engine prefills neither
 * the prompt nor those before it: for a slot or for a copy of KV cache.
 */
export function computeOtherWaitMs({
  expectedMs,
  promptPrefillMs,
  backlogMs,
}: Pick<Selection, 'expectedMs' | 'promptPrefillMs' | 'backlogMs'>): number {
  const waitMs = expectedMs - firstEventOverheadMs - promptPrefillMs;
  return Math.max(0, waitMs - backlogMs);
}

/** Work of one request of a plain service; a number that keeps digits. */
const plainRequestWork = 1_000;

/**
 * Builds the sample of an answer of a plain service. There is none for engines,
 * whose answers take as long as they have tokens, and where all slots were in
 * use, because the request may have waited for one.
 *
 * @example
 * const sample = buildAnswerSample(selection, {ms: 90, slowness: 1});
 */
export function buildAnswerSample(
  {server, serverRequests, prefillWork, expectedMs}: Selection,
  {ms, slowness}: ServedRequest,
): SpeedSample | undefined {
  if (prefillWork > 0 || serverRequests >= server.slots) return undefined;
  return {work: plainRequestWork, workBefore: 0, ms, expectedMs, slowness};
}
