/** Recent outcomes of this router's requests at each backend server. */
import type {RecentOutcomes} from './serverLoad.js';

/** Half-life of the weight of an outcome. */
const halfLifeMs = 3_000;
/** Time for which a server that refused a connection is avoided. */
const unreachableForMs = 700;
/**
 * Time for which a server is avoided after it rejected a request without
 * running it, usually because all its slots were in use. It is about the
 * service time of two requests of a plain service.
 */
const unwillingForMs = 150;
/** A server that sent an event within this time is known to be working. */
const recentEventMs = 300;
/** Time after which a reported slowness expires. */
const slownessTtlMs = 600;

interface Outcomes {
  failures: number;
  answers: number;
  updatedAtMs: number;
  unreachableUntilMs: number;
  unwillingUntilMs: number;
  backoffUntilMs: number;
  lastEventAtMs: number;
  answeredAtMs: number;
  slowness: number;
  slownessAtMs: number;
}

/** Counts failures and answers with exponential decay. */
export class ServerOutcomes {
  private readonly servers = new Map<string, Outcomes>();

  recordAnswer(serverId: string): void {
    const outcomes = this.decay(serverId);
    outcomes.answers += 1;
    outcomes.answeredAtMs = performance.now();
  }

  recordFailure(serverId: string): void {
    this.decay(serverId).failures += 1;
  }

  /** Removes the weight of earlier failures of a server that works again. */
  clearFailures(serverId: string): void {
    this.decay(serverId).failures = 0;
  }

  /** Records that no connection to the server could be opened. */
  recordUnreachable(serverId: string): void {
    const outcomes = this.decay(serverId);
    outcomes.failures += 1;
    outcomes.unreachableUntilMs = performance.now() + unreachableForMs;
  }

  /** Records that the server rejected a request without running it. */
  recordUnwilling(serverId: string): void {
    const untilMs = performance.now() + unwillingForMs;
    this.decay(serverId).unwillingUntilMs = untilMs;
  }

  /** Records that the server asked for a pause in requests (`Retry-After`). */
  recordBackoff(serverId: string, durationMs: number): void {
    const outcomes = this.decay(serverId);
    const untilMs = performance.now() + durationMs;
    outcomes.backoffUntilMs = Math.max(outcomes.backoffUntilMs, untilMs);
  }

  /** Returns the time until the server accepts requests again. */
  getBackoffMs(serverId: string): number {
    const untilMs = this.servers.get(serverId)?.backoffUntilMs ?? 0;
    return Math.max(0, untilMs - performance.now());
  }

  recordSlowness(serverId: string, slowness: number): void {
    const outcomes = this.decay(serverId);
    outcomes.slowness = slowness;
    outcomes.slownessAtMs = performance.now();
  }

  isUnreachable(serverId: string): boolean {
    const outcomes = this.servers.get(serverId);
    return (
      outcomes !== undefined && outcomes.unreachableUntilMs > performance.now()
    );
  }

  /** Records that the server sent a stream event. */
  recordEvent(serverId: string): void {
    this.decay(serverId).lastEventAtMs = performance.now();
  }

  hasRecentEvent(serverId: string): boolean {
    const lastEventAtMs =
      this.servers.get(serverId)?.lastEventAtMs ?? -Infinity;
    return performance.now() - lastEventAtMs < recentEventMs;
  }

  /**
   * True if the server has sent an answer or an event of a stream since.
   *
   * @param sinceMs - `performance.now()` of an earlier moment
   */
  hasAnsweredSince(serverId: string, sinceMs: number): boolean {
    const outcomes = this.servers.get(serverId);
    if (!outcomes) return false;
    return Math.max(outcomes.lastEventAtMs, outcomes.answeredAtMs) > sinceMs;
  }

  isUnwilling(serverId: string): boolean {
    const outcomes = this.servers.get(serverId);
    return (
      outcomes !== undefined && outcomes.unwillingUntilMs > performance.now()
    );
  }

  get(serverId: string): RecentOutcomes {
    const outcomes = this.servers.get(serverId);
    if (!outcomes) return {failures: 0, answers: 0, slowness: 0};
    const {failures, answers, slowness, slownessAtMs} = this.decay(serverId);
    const isSlownessCurrent = performance.now() - slownessAtMs < slownessTtlMs;
    return {failures, answers, slowness: isSlownessCurrent ? slowness : 0};
  }

  forget(serverId: string): void {
    this.servers.delete(serverId);
  }

  /** Returns the outcomes of a server, decayed to the present. */
  private decay(serverId: string): Outcomes {
    const nowMs = performance.now();
    let outcomes = this.servers.get(serverId);
    if (!outcomes) {
      outcomes = {
        failures: 0,
        answers: 0,
        updatedAtMs: nowMs,
        unreachableUntilMs: 0,
        unwillingUntilMs: 0,
        backoffUntilMs: 0,
        lastEventAtMs: -Infinity,
        answeredAtMs: -Infinity,
        slowness: 0,
        slownessAtMs: -Infinity,
      };
      this.servers.set(serverId, outcomes);
    }
    const factor = 0.5 ** ((nowMs - outcomes.updatedAtMs) / halfLifeMs);
    outcomes.failures *= factor;
    outcomes.answers *= factor;
    outcomes.updatedAtMs = nowMs;
    return outcomes;
  }
}
