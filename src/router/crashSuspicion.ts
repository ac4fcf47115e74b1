/** Suspicion of a request whose connection to a backend server was lost. */
import {AttemptKind, type AttemptResult} from './backendAttempt.js';
import {computeCompactKey} from './compactKey.js';
import type {CrashQuarantine} from './crashQuarantine.js';
import {isRefusing, type ServerAddress} from './portCheck.js';
import type {ServerOutcomes} from './serverOutcomes.js';

/**
 * Time after a lost connection in which answers may arrive that the server had
 * sent before, in milliseconds.
 */
const bufferedAnswerMs = 50;

/** Answers with this status or a higher one count as server failures. */
const minServerErrorStatus = 500;

/** What may have crashed a server, as compact keys. */
export interface CrashSuspects {
  readonly request: number;
  /** Parts of the prompt that other requests share. */
  readonly parts: readonly number[];
}

/**
 * Suspects a request and parts of its prompt, unless the server answers soon
 * after.
 *
 * @example
 * suspectCrash({quarantine, outcomes}, server, {request: key, parts: []});
 */
export function suspectCrash(
  deps: {
    readonly quarantine: CrashQuarantine;
    readonly outcomes: ServerOutcomes;
  },
  server: ServerAddress & {readonly id: string},
  suspects: CrashSuspects,
): void {
  const {quarantine, outcomes} = deps;
  const sinceMs = performance.now() + bufferedAnswerMs;
  const lost = {...suspects, server: computeCompactKey(server.id)};
  quarantine.suspectCrash(
    lost,
    () => outcomes.hasAnsweredSince(server.id, sinceMs),
    () => isRefusing(server),
  );
}

/**
 * True for a result that clears the request of suspicion. An error doesn't: a
 * faulty server may answer with one what crashes the others.
 */
export function isAcquittal(result: AttemptResult): boolean {
  return (
    result.kind === AttemptKind.Streamed ||
    (result.kind === AttemptKind.Answered &&
      result.status < minServerErrorStatus)
  );
}
