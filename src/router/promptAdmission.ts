/**
 * Admission control for long prompts. A prompt that can meet its target is sent
 * at once; one that cannot yields to those that can. This matters in bursts
 * that exceed the capacity of the engines for some seconds: in order of
 * arrival, all prompts would miss their target after the first second.
 */

import type {Route} from './deployment.js';

/** State of a prompt at the time of an admission decision. */
export interface AdmissionInput {
  /** Time since the request arrived, in milliseconds. */
  readonly waitedMs: number;
  /** Expected time from sending to the first event, in milliseconds. */
  readonly expectedMs: number;
  /** Expected time to clear the engine's prefill backlog, in milliseconds. */
  readonly backlogMs: number;
  /** Target of the time to first event, in milliseconds. */
  readonly targetMs: number;
  /** Time after which the caller gives up waiting for the first event. */
  readonly callerTimeoutMs: number;
}

export enum AdmissionDecision {
  /** Sent, because it is expected to meet the target. */
  OnTime = 'onTime',
  /** Sent late, because the engine is idle enough not to delay others. */
  SpareTime = 'spareTime',
  /** Sent late, because the caller would otherwise time out. */
  LastMoment = 'lastMoment',
  /** Not sent yet; decided again after `recheckIntervalMs`. */
  Hold = 'hold',
}

/** Safety margin for delays that the estimate does not cover. */
const targetMarginMs = 40;
/** Safety margin before the caller times out. */
const callerTimeoutMarginMs = 500;
/** An engine with at most this prefill backlog has spare capacity. */
const maxSpareBacklogMs = 60;
/** Interval between admission decisions for a held prompt, in milliseconds. */
export const recheckIntervalMs = 60;

/**
 * Decides whether a long prompt is sent now or held.
 *
 * @example
 * decideAdmission({waitedMs: 0, expectedMs: 200, backlogMs: 100,
 *     targetMs: 500, callerTimeoutMs: 2_000}) === AdmissionDecision.OnTime
 */
export function decideAdmission(input: AdmissionInput): AdmissionDecision {
  const {waitedMs, expectedMs, backlogMs, targetMs, callerTimeoutMs} = input;
  const readyAtMs = waitedMs + expectedMs;
  if (readyAtMs <= targetMs - targetMarginMs) return AdmissionDecision.OnTime;
  if (backlogMs <= maxSpareBacklogMs) return AdmissionDecision.SpareTime;
  if (readyAtMs >= callerTimeoutMs - callerTimeoutMarginMs) {
    return AdmissionDecision.LastMoment;
  }
  return AdmissionDecision.Hold;
}

/**
 * Callers abandon a stream after a gap of two seconds, four times the target or
 * eight times the longest pause that the route allows, whichever is longest.
 */
const minCallerTimeoutMs = 2_000;
const callerTimeoutTargetFactor = 4;
const callerTimeoutPauseFactor = 8;

/**
 * Returns the time after which a caller stops waiting for the first event.
 *
 * @param deadlineMs - time that the whole request may take
 * @example
 * computeCallerTimeoutMs({targetMs: 400, maxPauseMs: 500}, 10_000) === 4_000
 */
export function computeCallerTimeoutMs(
  {targetMs, maxPauseMs = 0}: Pick<Route, 'targetMs' | 'maxPauseMs'>,
  deadlineMs: number,
): number {
  const timeoutMs = Math.max(
    minCallerTimeoutMs,
    targetMs * callerTimeoutTargetFactor,
    maxPauseMs * callerTimeoutPauseFactor,
  );
  return Math.min(timeoutMs, deadlineMs);
}
