/** Judges whether a backend server is slow or unreachable. */
import {LeaseEnd, type Release} from '../protocol/leaseMessages.js';
import type {HeldLease} from './heldLease.js';

/** A server is ejected when its mean slowness is above this ratio. */
export const ejectAboveRatio = 3;
const minSamples = 5;
/** Probes below this ratio lead the way back. */
export const reinstateBelowRatio = 1.5;
const goodProbesNeeded = 3;
export const probeIntervalMs = 2_000;
/** Connect failures in a row after which a server counts as unreachable. */
export const maxConnectFailures = 3;
/** Without a probe for this time, gateways are asked to send one. */
export const probeRequestMs = 10_000;
const sampleWeight = 0.2;
/**
 * Larger ratios count as this one, so that one sample of a server at the
 * median can't eject it: 1 + 0.2 * (10 - 1) is below 3.
 */
const maxRatio = 10;
/**
 * Ratio that a connect failure counts as: just above the limit, so that a few
 * in a row eject as unreachable and a steady part of failures as slow.
 */
const connectFailureRatio = 4;

export enum EjectionReason {
  Slow = 'slow',
  Unreachable = 'unreachable',
  /** The former owner had ejected the server. */
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
  /** True while gateways are told to come, because no probe came. */
  requestsProbe: boolean;
}

/** Keeps a running mean of slowness; ejects and reinstates. */
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

  /** True when gateways should be told that the server is ejected. */
  isAnnounced(): boolean {
    return this.ejection !== undefined && !this.ejection.requestsProbe;
  }

  /** Starts afresh, ejected when the former owner had ejected the server. */
  reset(ejected: boolean): void {
    this.resumeService();
    if (ejected) this.eject(EjectionReason.Inherited);
  }

  /** Takes the end of a lease into account. */
  recordRelease(lease: HeldLease, release: Release): void {
    const failed = release.end === LeaseEnd.ConnectFailed;
    if (failed) this.connectFailures += 1;
    else if (release.end !== LeaseEnd.Unused) this.connectFailures = 0;
    if (this.ejection) {
      // Leases from before the ejection tell nothing of the time after it.
      if (lease.grantedAtMs < this.ejection.sinceMs) return;
      this.recordProbe(this.ejection, release);
      return;
    }
    const ratio = computeRatio(release);
    if (ratio !== undefined) this.recordSample(ratio);
    if (this.connectFailures >= maxConnectFailures) {
      this.eject(EjectionReason.Unreachable);
    } else if (this.samples >= minSamples && this.ratio > ejectAboveRatio) {
      this.eject(EjectionReason.Slow);
    }
  }

  /** Notes that the server answered a call of the dispatcher itself. */
  recordAnswer(): void {
    if (this.ejection?.reason !== EjectionReason.Unreachable) return;
    this.ejection.lastProbeAtMs = -Infinity;
    this.ejection.requestsProbe = true;
  }

  /** True when one more lease may be granted as a probe. */
  isProbeDue(nowMs: number, isHeld: (leaseId: string) => boolean): boolean {
    if (!this.ejection) return false;
    if (this.probeLeaseId && isHeld(this.probeLeaseId)) return false;
    return nowMs - this.ejection.lastProbeAtMs >= probeIntervalMs;
  }

  /** Notes that a lease was granted as a probe. */
  startProbe(leaseId: string, nowMs: number): void {
    if (!this.ejection) return;
    this.probeLeaseId = leaseId;
    this.ejection.lastProbeAtMs = nowMs;
  }

  /** Asks for probes when none came for a while. */
  advance(nowMs: number): void {
    if (!this.ejection) return;
    const {sinceMs, lastProbeAtMs} = this.ejection;
    const quietMs = nowMs - Math.max(sinceMs, lastProbeAtMs);
    if (quietMs >= probeRequestMs) this.ejection.requestsProbe = true;
  }

  private recordSample(ratio: number): void {
    this.samples += 1;
    const weight = Math.max(sampleWeight, 1 / this.samples);
    this.ratio += (Math.min(ratio, maxRatio) - this.ratio) * weight;
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

/** Slowness that a release shows; undefined when it shows none. */
function computeRatio({end, slowness}: Release): number | undefined {
  if (end === LeaseEnd.ConnectFailed) return connectFailureRatio;
  return end === LeaseEnd.Silent ? maxRatio : slowness;
}

/** Whether a probe went well; undefined when it shows nothing. */
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
