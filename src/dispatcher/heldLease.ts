/** A slot lease, as its dispatcher knows it. */
import type {Acquire, Renew} from '../protocol/leaseMessages.js';

/** Factor from a tier to the engine's priority numbers. */
const priorityPerTier = 1_000;
/** Added to the priority number of a demoted stream. */
const demotedPriority = 500;

/** A running request. */
export interface HeldLease {
  leaseId: string;
  requestId: string;
  gateway: string;
  className: string;
  customer: string;
  fingerprint?: string;
  /** Crashes that the gateway knows of for this request. */
  suspectCount: number;
  tier: number;
  /** True when the class's minimum share was due at the grant. */
  due: boolean;
  tokens: number;
  /** True for a long stream that runs behind the others of its tier. */
  demoted: boolean;
  /** True when the dispatcher learned of the lease from a renewal. */
  adopted: boolean;
  grantedAtMs: number;
  renewedAtMs: number;
  /** True once the gateway has renewed the lease here. */
  renewed: boolean;
}

/** A lease as its gateway renews it. */
export type RenewedLease = Renew['leases'][number];

/** What acquiring and renewing tell of a request. */
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
 * Tier by which the engine serves a lease. Work that a minimum share is due to
 * runs beside the most urgent work until it turns out long; otherwise leases
 * in excess of the slots could pause it, and the share would be none.
 */
export function computeServedTier(
  lease: Pick<HeldLease, 'tier' | 'due' | 'demoted'>,
): number {
  return lease.due && !lease.demoted ? 0 : lease.tier;
}

/** Priority number for the engine; lower is served first. */
export function computePriority(
  lease: Pick<HeldLease, 'tier' | 'due' | 'demoted'>,
): number {
  const served = computeServedTier(lease) * priorityPerTier;
  return served + (lease.demoted ? demotedPriority : 0);
}
