/**
 * Admission control for prompts. A prompt that can meet its target is sent at
 * once; one that cannot yields to those that can, and its caller is told when to
 * come back. This matters in bursts that exceed the capacity of the engines for
 * some seconds: in order of arrival, all prompts would miss their target after
 * the first second, and prompts that are sent shortly before their callers give
 * up keep the queues of the engines as long as callers wait.
 */

import type {Route} from './deployment.js';

/** State of a prompt at the time of an admission decision. */
export interface AdmissionInput {
  /** Time since the request arrived, in milliseconds. */
  readonly waitedMs: number;
  /** Expected time from sending to the first event, in milliseconds. */
  readonly expectedMs: number;
  /**
   * Part of `expectedMs` that passes before the engine begins the prompt, in
   * milliseconds.
   */
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
  /** Sent late, because an earlier attempt may have run. */
  LastMoment = 'lastMoment',
  /** Not sent yet, because a place may become free until its target. */
  Hold = 'hold',
  /** Not sent: it would be late, and make others late. */
  Refuse = 'refuse',
}

/** Safety margin for delays that the estimate does not cover. */
const targetMarginMs = 40;
/** Safety margin before the caller times out. */
const callerTimeoutMarginMs = 500;
/** An engine with at most this backlog has spare capacity. */
export const maxSpareBacklogMs = 60;
/**
 * Backlog, as a ratio of the target, up to which a late prompt is sent once it
 * has waited. Prompts that arrive can then still be on time.
 */
const maxLateBacklogRatio = 0.5;
/**
 * Decides whether a prompt is sent now, held or refused.
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
  const holdLeftMs = Math.max(0, targetMs - waitedMs);
  const maxLateBacklogMs = targetMs * maxLateBacklogRatio;
  // A backlog shrinks by at most a millisecond in each.
  const canBecomeShort = backlogMs - holdLeftMs <= maxLateBacklogMs;
  if (holdLeftMs > 0 && canBecomeShort) return AdmissionDecision.Hold;
  return backlogMs <= maxLateBacklogMs &&
    readyAtMs <= callerTimeoutMs - callerTimeoutMarginMs
    ? AdmissionDecision.SpareTime
    : AdmissionDecision.Refuse;
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
