/** One truthful answer from the refusals of all dispatchers asked. */
import {LeaseRefusal} from '../protocol/leaseMessages.js';
import {Outcome} from '../protocol/outcome.js';
import {Refusal, RefusalReason} from '../protocol/refusal.js';

/** Refusals that name no time. */
const defaultRetryAfterMs = 1_000;

/** A dispatcher that gives no answer. */
export const unreachable = 'unreachable';
export type AskRefusal = LeaseRefusal | typeof unreachable;

/**
 * Reasons in the order in which one of them speaks for all: a server that
 * would have started too late says more than one that was leaving.
 */
const reasonOrder = [
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

  /** Adds a refusal of one backend server. */
  add(refusal: AskRefusal, retryAfterMs?: number): void {
    this.counts.set(refusal, (this.counts.get(refusal) ?? 0) + 1);
    if (retryAfterMs === undefined) return;
    this.retryAfterMs = Math.min(this.retryAfterMs ?? Infinity, retryAfterMs);
  }

  /** Builds the answer; nothing was sent to a backend server. */
  build(): Refusal {
    const reasons = new Set([...this.counts.keys()].map(chooseReason));
    const reason =
      reasonOrder.find(candidate => reasons.has(candidate)) ??
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
