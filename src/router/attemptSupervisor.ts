/**
 * Aborts an attempt at its deadline or when the caller disconnects, and tells
 * when its server stays silent for too long.
 */
import {BackendServerError, DeadlineError} from '../protocol/errors.js';
import type {AttemptResult, BackendAttempt} from './backendAttempt.js';
import {RouteKind, type Route} from './deployment.js';

/**
 * An attempt is silent when nothing has come from its server for this multiple of
 * the expected time.
 */
const expectedWaitFactor = 3.5;
const minFirstSilenceMs = 400;
/** Multiple of a stream's target that its first event may take. */
const firstEventTargetFactor = 2;
/** The same at a server that is sending other streams to this router. */
const busyFirstEventTargetFactor = 3.2;
/** Multiple of a route's longest allowed pause that a stream may be silent. */
const streamPauseFactor = 2.5;
const minStreamSilenceMs = 600;

/** Limits of one attempt. */
export interface AttemptBounds {
  readonly route: Route;
  /** Aborts when the caller has disconnected. */
  readonly signal: AbortSignal;
  /** Time until the deadline of the request, in milliseconds. */
  readonly remainingMs: number;
  /** Expected time to the answer or the first event, in milliseconds. */
  readonly expectedMs: number;
  /** True once an event has arrived. */
  readonly hasEvents: () => boolean;
  /** True while the server sends events of any stream to this router. */
  readonly isServerActive: () => boolean;
  /** Called when the attempt is silent, and again at each later check. */
  readonly handleSilence: () => void;
}

/**
 * Waits for the result of an attempt. Aborts it at its deadline or when the
 * caller disconnects. Rejects only if `handleSilence` throws.
 */
export async function superviseAttempt(
  attempt: Pick<BackendAttempt, 'abort' | 'measureSilenceMs' | 'result'>,
  bounds: AttemptBounds,
): Promise<AttemptResult> {
  const {signal, remainingMs} = bounds;
  const deadline = setTimeout(
    () => attempt.abort(new DeadlineError('deadline of the request passed')),
    Math.max(0, remainingMs),
  );
  const handleCallerDisconnect = () =>
    attempt.abort(new DeadlineError('caller disconnected'));
  signal.addEventListener('abort', handleCallerDisconnect, {once: true});
  let stopWatching: () => void = () => undefined;
  const failed = new Promise<never>((_, reject) => {
    stopWatching = watchSilence(attempt, bounds, reject);
  });
  try {
    return await Promise.race([attempt.result, failed]);
  } catch (error) {
    attempt.abort(new BackendServerError('supervision of the attempt failed'));
    throw error;
  } finally {
    clearTimeout(deadline);
    stopWatching();
    signal.removeEventListener('abort', handleCallerDisconnect);
  }
}

/**
 * Returns a function that ends the watch.
 *
 * @param fail - called with what `handleSilence` throws
 */
function watchSilence(
  attempt: Pick<BackendAttempt, 'measureSilenceMs'>,
  bounds: AttemptBounds,
  fail: (error: unknown) => void,
): () => void {
  const {route, expectedMs, hasEvents, isServerActive} = bounds;
  const isStream = route.kind === RouteKind.Stream;
  const firstLimitMs = Math.max(
    minFirstSilenceMs,
    expectedMs * expectedWaitFactor,
    isStream ? route.targetMs * firstEventTargetFactor : 0,
  );
  const laterLimitMs = Math.max(
    minStreamSilenceMs,
    (route.maxPauseMs ?? 0) * streamPauseFactor,
  );
  const busyLimitMs = Math.max(
    firstLimitMs,
    isStream ? route.targetMs * busyFirstEventTargetFactor : 0,
  );
  const isSilent = () => {
    const defaultLimitMs = hasEvents() ? laterLimitMs : firstLimitMs;
    const limitMs =
      !hasEvents() && isServerActive() ? busyLimitMs : defaultLimitMs;
    return attempt.measureSilenceMs() >= limitMs;
  };
  let confirmation: NodeJS.Immediate | undefined;
  const confirm = () => {
    timer.refresh();
    if (!isSilent()) return;
    try {
      bounds.handleSilence();
    } catch (error) {
      fail(error);
    }
  };
  const check = () => {
    // After a delay of the event loop, timers run before the bytes that have
    // arrived meanwhile are read.
    if (isSilent()) confirmation = setImmediate(confirm);
    else timer.refresh();
  };
  const timer = setTimeout(check, Math.min(firstLimitMs, laterLimitMs) / 2);
  return () => {
    clearTimeout(timer);
    clearImmediate(confirmation);
  };
}
