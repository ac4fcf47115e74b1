/** A slot lease, as the dispatcher of its backend server tracks it. */
import type {Acquire, Renew} from '../protocol/leaseMessages.js';

/** Difference between the engine priorities of adjacent tiers. */
const priorityPerTier = 1_000;
/**
 * Added to the engine priority of a demoted stream, which puts it behind its
 * own tier and before the next.
 */
const demotedPriorityOffset = 500;

/** Lease of a running request. */
export interface HeldLease {
  leaseId: string;
  requestId: string;
  gateway: string;
  className: string;
  customer: string;
  fingerprint?: string;
  /** Crashes at which the request was in flight, as its gateway knows them. */
  suspectCount: number;
  tier: number;
  /** True if it was granted because the class's minimum share was due. */
  due: boolean;
  /** Tokens produced so far, as of the latest renewal. */
  tokens: number;
  /** True for a long stream that runs behind the others of its tier. */
  demoted: boolean;
  /**
   * True if the dispatcher learned of the lease from a renewal, or has held it
   * since before a pause. The grace limit doesn't count it as a new grant.
   */
  adopted: boolean;
  /** `Date.now()` at the grant, at the adoption or after a pause. */
  grantedAtMs: number;
  renewedAtMs: number;
  /** True once the gateway has renewed the lease here. */
  renewed: boolean;
}

/** A lease in a gateway's renewal call. */
export type RenewedLease = Renew['leases'][number];

/** Properties of a request that acquisitions and renewals both carry. */
export type LeaseSource = Pick<
  Acquire,
  | 'leaseId'
  | 'requestId'
  | 'gateway'
  | 'className'
  | 'customer'
  | 'fingerprint'
  | 'suspectCount'
>;

/** Builds a lease that starts now. */
export function buildLease(
  source: LeaseSource,
  tier: number,
  due: boolean,
): HeldLease {
  const nowMs = Date.now();
  return {
    leaseId: source.leaseId,
    requestId: source.requestId,
    gateway: source.gateway,
    className: source.className,
    customer: source.customer,
    fingerprint: source.fingerprint,
    suspectCount: source.suspectCount,
    tier,
    due,
    tokens: 0,
    demoted: false,
    adopted: false,
    grantedAtMs: nowMs,
    renewedAtMs: nowMs,
    renewed: false,
  };
}

/**
 * Tier by which the engine schedules a lease. A request that was granted
 * because its minimum share was due runs in the most urgent tier until it is
 * demoted; otherwise overcommitted leases could pause it, and its class would
 * not get its share.
 */
export function computeEffectiveTier(
  lease: Pick<HeldLease, 'tier' | 'due' | 'demoted'>,
): number {
  return lease.due && !lease.demoted ? 0 : lease.tier;
}

/** Priority for the engine; lower is served first. */
export function computePriority(
  lease: Pick<HeldLease, 'tier' | 'due' | 'demoted'>,
): number {
  const tierPriority = computeEffectiveTier(lease) * priorityPerTier;
  return tierPriority + (lease.demoted ? demotedPriorityOffset : 0);
}
