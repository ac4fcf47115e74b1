/** Recent outcomes of one router's requests at each backend server. */
import type {RecentOutcomes} from './serverLoad.js';

/** Time in which the weight of an outcome halves, in milliseconds. */
const halfLifeMs = 3_000;
/** A server that refused a connection is passed over for this long. */
const unreachableForMs = 700;
/**
 * A server that refused a request unrun, mostly because its slots are taken,
 * gets no other for this long: about two requests of a plain service.
 */
const unwillingForMs = 150;
/** A server that sent an event so lately is at work, in milliseconds. */
const heardForMs = 300;
/** Reported slowness holds for about this long. */
const slownessHoldsMs = 600;

interface Outcomes {
  failures: number;
  answers: number;
  updatedAtMs: number;
  unreachableUntilMs: number;
  unwillingUntilMs: number;
  heldOffUntilMs: number;
  heardAtMs: number;
  slowness: number;
  slownessAtMs: number;
}

/** Counts failures and answers; old ones weigh less. */
export class ServerOutcomes {
  private readonly servers = new Map<string, Outcomes>();

  recordAnswer(serverId: string): void {
    this.decay(serverId).answers += 1;
  }

  recordFailure(serverId: string): void {
    this.decay(serverId).failures += 1;
  }

  /** No connection could be opened. */
  recordUnreachable(serverId: string): void {
    const outcomes = this.decay(serverId);
    outcomes.failures += 1;
    outcomes.unreachableUntilMs = performance.now() + unreachableForMs;
  }

  /** The server said that it won't run a request. */
  recordUnwilling(serverId: string): void {
    const untilMs = performance.now() + unwillingForMs;
    this.decay(serverId).unwillingUntilMs = untilMs;
  }

  /** The server asked for no requests for a time, in milliseconds. */
  recordHoldOff(serverId: string, forMs: number): void {
    const outcomes = this.decay(serverId);
    const untilMs = performance.now() + forMs;
    outcomes.heldOffUntilMs = Math.max(outcomes.heldOffUntilMs, untilMs);
  }

  /** Time until the server wants requests again, in milliseconds. */
  measureHoldOffMs(serverId: string): number {
    const untilMs = this.servers.get(serverId)?.heldOffUntilMs ?? 0;
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

  /** The server sent an event of a stream. */
  recordEvent(serverId: string): void {
    this.decay(serverId).heardAtMs = performance.now();
  }

  isHeard(serverId: string): boolean {
    const heardAtMs = this.servers.get(serverId)?.heardAtMs ?? -Infinity;
    return performance.now() - heardAtMs < heardForMs;
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
    const isSlownessKnown = performance.now() - slownessAtMs < slownessHoldsMs;
    return {failures, answers, slowness: isSlownessKnown ? slowness : 0};
  }

  forget(serverId: string): void {
    this.servers.delete(serverId);
  }

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
        heldOffUntilMs: 0,
        heardAtMs: -Infinity,
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
