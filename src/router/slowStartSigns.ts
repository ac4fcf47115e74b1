/** What the answers to a router's requests mean for slow start. */
import {assertNever} from '../protocol/assertNever.js';
import {DeadlineError, SilentConnectionError} from '../protocol/errors.js';
import {
  classifyResponse,
  ServerResponse,
  type SlowStart,
} from '../serverPace/slowStart.js';
import {
  AttemptKind,
  isAbortedByRouter,
  type AttemptResult,
} from './backendAttempt.js';
import type {ServerLoadTracker} from './serverLoads.js';
import type {ServerOutcomes} from './serverOutcomes.js';
import type {Selection} from './selection.js';

/** Answers with this status or a higher one count as failures. */
const minServerErrorStatus = 500;

/** Components that take part. */
export interface SlowStartComponents {
  readonly slowStart: SlowStart;
  readonly loads: ServerLoadTracker;
  readonly outcomes: ServerOutcomes;
}

/** An attempt, as far as slow start needs to know it. */
export interface TimedAttempt {
  readonly selection: Selection;
  /** `performance.now()` when it was sent. */
  readonly sentAtMs: number;
  /** Time that was left of the caller's target then, in milliseconds. */
  readonly targetLeftMs: number;
}

/**
 * Records the first event of a stream, or the answer of a plain server.
 *
 * @example
 * recordResponse(components, attempt);
 */
export function recordResponse(
  components: SlowStartComponents,
  attempt: TimedAttempt,
): void {
  if (!components.slowStart.isEnabled) return;
  const {selection, sentAtMs, targetLeftMs} = attempt;
  const response = classifyResponse({
    elapsedMs: performance.now() - sentAtMs,
    expectedMs: selection.expectedMs,
    leftMs: targetLeftMs,
  });
  record(components, attempt, response);
}

/**
 * Records the end of an attempt; the first event of a stream was recorded when
 * it came.
 *
 * @example
 * recordAttemptEnd(components, attempt, result);
 */
export function recordAttemptEnd(
  components: SlowStartComponents,
  attempt: TimedAttempt,
  result: AttemptResult,
): void {
  if (!components.slowStart.isEnabled) return;
  switch (result.kind) {
    case AttemptKind.Answered:
      if (result.status < minServerErrorStatus) {
        recordResponse(components, attempt);
      } else record(components, attempt, ServerResponse.Failed);
      break;
    case AttemptKind.Streamed:
      break;
    case AttemptKind.NotRun:
      if (result.isOtherProcess) break;
      record(components, attempt, ServerResponse.Rejected);
      break;
    case AttemptKind.Unreachable:
      if (isAbortedByRouter(result.error)) break;
      record(components, attempt, ServerResponse.Failed);
      break;
    case AttemptKind.Broken: {
      const {error, isConnectionLost} = result;
      if (isConnectionLost || error instanceof SilentConnectionError) {
        record(components, attempt, ServerResponse.Failed);
      } else if (error instanceof DeadlineError) {
        record(components, attempt, ServerResponse.Late);
      }
      break;
    }
    default:
      assertNever(result);
  }
}

function record(
  {slowStart, loads, outcomes}: SlowStartComponents,
  {selection, sentAtMs}: TimedAttempt,
  response: ServerResponse,
): void {
  const {server} = selection;
  const inFlight = loads.get(server.id).requests;
  const hasRecovered = slowStart.record(server, {response, sentAtMs, inFlight});
  if (hasRecovered) outcomes.clearFailures(server.id);
}
