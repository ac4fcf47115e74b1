/** Detects slow and unreachable backend servers. */
import {LeaseEnd, type Release} from '../protocol/leaseMessages.js';
import type {HeldLease} from './heldLease.js';

/**
 * A server is ejected when its mean slowness is above this. Slowness is latency
 * as a ratio of the median of the model's servers.
 */
export const ejectAboveRatio = 3;
const minSamples = 5;
/** A probe succeeds if its slowness is below this ratio. */
export const reinstateBelowRatio = 1.5;
const goodProbesNeeded = 3;
export const probeIntervalMs = 2_000;
/** Consecutive connect failures after which a server is unreachable. */
export const maxConnectFailures = 3;
/** Without a probe for this time, gateways are asked to send one. */
export const probeRequestDelayMs = 10_000;
const sampleWeight = 0.2;
/**
 * Upper limit on a sample, so that a single one can't eject a server at the
 * median: 1 + 0.2 * (10 - 1) is below 3.
 */
const maxSampleRatio = 10;
/**
 * Slowness that a connect failure counts as. It is just above the limit, so
 * that a few failures in a row eject the server as unreachable, and a steady
 * ratio of failures ejects it as slow.
 */
const connectFailureRatio = 4;

export enum EjectionReason {
  Slow = 'slow',
  Unreachable = 'unreachable',
  /** The previous owner had ejected the server. */
  Inherited = 'inherited',
}

/** An ejection in force. */
export interface Ejection {
  reason: EjectionReason;
  sinceMs: number;
  /** Mean slowness at the ejection. */
  ratio: number;
  goodProbes: number;
  lastProbeAtMs: number;
  /**
   * True while the server is announced as not ejected, to attract a probe after
   * none came for a while.
   */
  requestsProbe: boolean;
}

/** Keeps a moving average of slowness; ejects and reinstates the server. */
export class ServerHealth {
  private ratio = 1;
  private samples = 0;
  private connectFailures = 0;
  private ejection: Ejection | undefined;
  private probeLeaseId: string | undefined;

  /** The ejection in force, if any. */
  getEjection(): Ejection | undefined {
    return this.ejection;
  }

  /** True if the server is to be announced to gateways as ejected. */
  isAnnouncedAsEjected(): boolean {
    return this.ejection !== undefined && !this.ejection.requestsProbe;
  }

  /**
   * Discards all samples; the server is ejected if the previous owner had
   * ejected it.
   */
  reset(ejected: boolean): void {
    this.resumeService();
    if (ejected) this.eject(EjectionReason.Inherited);
  }

  /** Records the end of a lease. */
  recordRelease(lease: HeldLease, release: Release): void {
    const failed = release.end === LeaseEnd.ConnectFailed;
    if (failed) this.connectFailures += 1;
    else if (release.end !== LeaseEnd.Unused) this.connectFailures = 0;
    if (this.ejection) {
      // Leases granted before the ejection say nothing about the time after it.
      if (lease.grantedAtMs < this.ejection.sinceMs) return;
      this.recordProbe(this.ejection, release);
      return;
    }
    const ratio = computeSlownessRatio(release);
    if (ratio !== undefined) this.recordSample(ratio);
    if (this.connectFailures >= maxConnectFailures) {
      this.eject(EjectionReason.Unreachable);
    } else if (this.samples >= minSamples && this.ratio > ejectAboveRatio) {
      this.eject(EjectionReason.Slow);
    }
  }

  /**
   * Records that the server answered a call of the dispatcher itself. If it was
   * ejected as unreachable, a probe is requested at once.
   */
  recordAnswer(): void {
    if (this.ejection?.reason !== EjectionReason.Unreachable) return;
    this.ejection.lastProbeAtMs = -Infinity;
    this.ejection.requestsProbe = true;
  }

  /** True if one more lease may be granted as a probe. */
  isProbeDue(nowMs: number, isHeld: (leaseId: string) => boolean): boolean {
    if (!this.ejection) return false;
    if (this.probeLeaseId && isHeld(this.probeLeaseId)) return false;
    return nowMs - this.ejection.lastProbeAtMs >= probeIntervalMs;
  }

  /** Records that a lease was granted as a probe. */
  startProbe(leaseId: string, nowMs: number): void {
    if (!this.ejection) return;
    this.probeLeaseId = leaseId;
    this.ejection.lastProbeAtMs = nowMs;
  }

  /** Asks gateways for probes if none came for a while. */
  advance(nowMs: number): void {
    if (!this.ejection) return;
    const {sinceMs, lastProbeAtMs} = this.ejection;
    const idleMs = nowMs - Math.max(sinceMs, lastProbeAtMs);
    if (idleMs >= probeRequestDelayMs) this.ejection.requestsProbe = true;
  }

  private recordSample(ratio: number): void {
    this.samples += 1;
    const weight = Math.max(sampleWeight, 1 / this.samples);
    this.ratio += (Math.min(ratio, maxSampleRatio) - this.ratio) * weight;
  }

  private recordProbe(ejection: Ejection, release: Release): void {
    const verdict = checkProbe(release);
    if (verdict === undefined) return;
    if (!verdict) {
      ejection.goodProbes = 0;
      ejection.requestsProbe = false;
      return;
    }
    ejection.goodProbes += 1;
    const needed =
      ejection.reason === EjectionReason.Unreachable ? 1 : goodProbesNeeded;
    if (ejection.goodProbes >= needed) this.resumeService();
  }

  private eject(reason: EjectionReason): void {
    const nowMs = Date.now();
    this.ejection = {
      reason,
      sinceMs: nowMs,
      ratio: this.ratio,
      goodProbes: 0,
      lastProbeAtMs: nowMs,
      requestsProbe: false,
    };
  }

  private resumeService(): void {
    this.ejection = undefined;
    this.probeLeaseId = undefined;
    this.ratio = 1;
    this.samples = 0;
    this.connectFailures = 0;
  }
}

/** Slowness to record for a release; undefined if there is none. */
function computeSlownessRatio({end, slowness}: Release): number | undefined {
  if (end === LeaseEnd.ConnectFailed) return connectFailureRatio;
  return end === LeaseEnd.Silent ? maxSampleRatio : slowness;
}

/** True if a probe succeeded; undefined if it is inconclusive. */
function checkProbe({end, slowness}: Release): boolean | undefined {
  switch (end) {
    case LeaseEnd.ConnectFailed:
    case LeaseEnd.Silent:
    case LeaseEnd.Broken:
      return false;
    case LeaseEnd.Completed:
      return slowness === undefined || slowness < reinstateBelowRatio;
    case LeaseEnd.Cancelled:
      return slowness === undefined
        ? undefined
        : slowness < reinstateBelowRatio;
    case LeaseEnd.Unused:
      return undefined;
  }
}
