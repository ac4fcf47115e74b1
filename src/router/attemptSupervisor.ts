/**
 * Aborts an attempt at its deadline, when the caller disconnects, or when its
 * server stays silent for too long and another one can take its place.
 */
import {DeadlineError, SilentConnectionError} from '../protocol/errors.js';
import type {AttemptResult, BackendAttempt} from './backendAttempt.js';
import {RouteKind, type Route} from './deployment.js';

/**
 * An attempt is aborted when its server stays silent for this multiple of the
 * expected time and another server can run the request now.
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
  /** True when another server can run the request instead now. */
  readonly canRetry: () => boolean;
  /**
   * Called, and again at each later check, when an attempt that has sent events
   * is silent. Without it, such an attempt is aborted.
   */
  readonly resumeBeside?: () => void;
}

/**
 * Waits for the result of an attempt. Aborts it at its deadline, when the
 * caller disconnects, or when the server is silent and another one can run the
 * request now.
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
  const stopWatching = watchSilence(attempt, bounds);
  try {
    return await attempt.result;
  } finally {
    clearTimeout(deadline);
    stopWatching();
    signal.removeEventListener('abort', handleCallerDisconnect);
  }
}

/** Returns a function that ends the watch. */
function watchSilence(
  attempt: Pick<BackendAttempt, 'abort' | 'measureSilenceMs'>,
  bounds: AttemptBounds,
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
    if (bounds.resumeBeside && hasEvents()) bounds.resumeBeside();
    else if (bounds.canRetry()) {
      attempt.abort(new SilentConnectionError('no byte within the limit'));
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
