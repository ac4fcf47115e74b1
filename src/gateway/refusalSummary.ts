/** Merges the refusals of all dispatchers asked into one for the caller. */
import {LeaseRefusal} from '../protocol/leaseMessages.js';
import {Outcome} from '../protocol/outcome.js';
import {Refusal, RefusalReason} from '../protocol/refusal.js';

/** Used when no dispatcher gave a time. */
const defaultRetryAfterMs = 1_000;

/** Recorded for a dispatcher that does not answer. */
export const unreachable = 'unreachable';
export type AskRefusal = LeaseRefusal | typeof unreachable;

/**
 * Reasons by precedence; the caller gets the first that occurred. A server that
 * would have started the request too late is more informative than one that was
 * leaving.
 */
const reasonPrecedence = [
  RefusalReason.RequestCrashesServers,
  RefusalReason.TargetUnreachable,
  RefusalReason.QueueFull,
  RefusalReason.DeadlineExceeded,
  RefusalReason.NoBackendServer,
];

/** Collects the refusals that one request got. */
export class RefusalSummary {
  private readonly counts = new Map<AskRefusal, number>();
  private retryAfterMs: number | undefined;

  /** Adds one refusal. */
  add(refusal: AskRefusal, retryAfterMs?: number): void {
    this.counts.set(refusal, (this.counts.get(refusal) ?? 0) + 1);
    if (retryAfterMs === undefined) return;
    this.retryAfterMs = Math.min(this.retryAfterMs ?? Infinity, retryAfterMs);
  }

  /** Builds the refusal; nothing was sent to a backend server. */
  build(): Refusal {
    const reasons = new Set([...this.counts.keys()].map(chooseReason));
    const reason =
      reasonPrecedence.find(candidate => reasons.has(candidate)) ??
      RefusalReason.NoBackendServer;
    const counts = [...this.counts]
      .map(([refusal, count]) => `${count} ${refusal}`)
      .join(', ');
    return new Refusal(
      reason,
      Outcome.NotRun,
      `no backend server takes the request: ${counts || 'none is there'}`,
      {retryAfterMs: this.retryAfterMs ?? defaultRetryAfterMs},
    );
  }
}

function chooseReason(refusal: AskRefusal): RefusalReason {
  switch (refusal) {
    case LeaseRefusal.QueueFull:
      return RefusalReason.QueueFull;
    case LeaseRefusal.TargetUnreachable:
      return RefusalReason.TargetUnreachable;
    case LeaseRefusal.DeadlineExceeded:
      return RefusalReason.DeadlineExceeded;
    case LeaseRefusal.RequestCrashesServers:
      return RefusalReason.RequestCrashesServers;
    case LeaseRefusal.Busy:
    case LeaseRefusal.Moved:
    case LeaseRefusal.Leaving:
    case LeaseRefusal.Ejected:
    case LeaseRefusal.SuspectInFlight:
    case unreachable:
      return RefusalReason.NoBackendServer;
  }
}
