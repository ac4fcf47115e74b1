/** What the end of an attempt shows about a restart of its server. */
import {assertNever} from '../protocol/assertNever.js';
import {EvidenceKind} from '../serverPace/restartEvidence.js';
import type {ServerPace} from '../serverPace/serverPace.js';
import {
  AttemptKind,
  isAbortedByRouter,
  type AttemptResult,
} from './backendAttempt.js';
import {isStaleConnection} from './connectionReuse.js';
import type {SentAttempt} from './sentAttempt.js';

/**
 * Records that a server may have restarted, or that its process has gone on.
 *
 * @example
 * recordRestartSigns(pace, attempt, {kind: AttemptKind.Streamed});
 */
export function recordRestartSigns(
  pace: ServerPace,
  attempt: Pick<
    SentAttempt,
    'selection' | 'sentAtMs' | 'connectionIdleMs' | 'connectedAtMs'
  >,
  result: AttemptResult,
): void {
  const {server} = attempt.selection;
  const {sentAtMs, connectedAtMs} = attempt;
  switch (result.kind) {
    case AttemptKind.Answered:
    case AttemptKind.Streamed:
      pace.recordLife(server, connectedAtMs);
      break;
    case AttemptKind.NotRun:
      if (!result.isOtherProcess) pace.recordLife(server, connectedAtMs);
      break;
    case AttemptKind.Unreachable:
      // Ended while it was connecting, which may be a matter of milliseconds.
      if (isAbortedByRouter(result.error)) break;
      pace.recordEvidence(server, EvidenceKind.Strong);
      break;
    case AttemptKind.Broken: {
      if (!result.isConnectionLost) break;
      const isStale = isStaleConnection({
        isUnanswered: result.isUnanswered,
        idleMs: attempt.connectionIdleMs,
        elapsedMs: performance.now() - sentAtMs,
      });
      const kind = isStale ? EvidenceKind.Weak : EvidenceKind.Strong;
      pace.recordEvidence(server, kind);
      break;
    }
    default:
      assertNever(result);
  }
}
