/** Tells a crash of a backend server from a connection that just broke. */
import {LeaseEnd, type Release} from '../protocol/leaseMessages.js';
import type {HeldLease} from './heldLease.js';

/** Ends of leases that belong to one crash come within this time. */
export const crashWindowMs = 500;
/** Broken leases that make a burst, and their part of those in flight. */
const minBurst = 2;
const burstPart = 0.75;

export interface CrashDetectorOptions {
  /** Resolves to true when the server refuses a new connection. */
  isRefusing: () => Promise<boolean>;
  /** Called once a crash with the requests that were in flight. */
  onCrash: (inFlight: HeldLease[]) => void;
}

/** The time after a broken lease in which more signs are collected. */
interface CrashWindow {
  startedAtMs: number;
  inFlight: Map<string, HeldLease>;
  broken: number;
  reported: boolean;
}

/**
 * A crash is seen when most leases in flight break within a short time, or
 * when one breaks and the server then refuses a connection. A single broken
 * connection to a server that accepts new ones is no crash.
 */
export class CrashDetector {
  private window: CrashWindow | undefined;

  constructor(private readonly options: CrashDetectorOptions) {}

  /** Takes an ended lease, and the leases that are still in flight. */
  recordRelease(
    lease: HeldLease,
    {end}: Release,
    inFlight: readonly HeldLease[],
  ): void {
    if (end === LeaseEnd.ConnectFailed) {
      this.recordRefusal(lease);
      return;
    }
    if (end !== LeaseEnd.Broken) return;
    const window = this.findWindow(lease) ?? this.openWindow(lease, inFlight);
    if (window.reported) return;
    window.broken += 1;
    const needed = Math.max(minBurst, window.inFlight.size * burstPart);
    if (window.broken >= needed) this.reportCrash(window);
  }

  /** A request that couldn't connect didn't run, but tells of a crash. */
  private recordRefusal(lease: HeldLease): void {
    if (!this.window || this.isOver(this.window)) return;
    this.window.inFlight.delete(lease.leaseId);
    this.reportCrash(this.window);
  }

  /** Finds the window that a broken lease belongs to. */
  private findWindow(lease: HeldLease): CrashWindow | undefined {
    if (!this.window) return undefined;
    // Late ends of leases that were in flight belong to the same crash.
    if (this.window.reported && this.window.inFlight.has(lease.leaseId)) {
      return this.window;
    }
    return this.isOver(this.window) ? undefined : this.window;
  }

  private openWindow(
    lease: HeldLease,
    inFlight: readonly HeldLease[],
  ): CrashWindow {
    const all = [lease, ...inFlight];
    const window = {
      startedAtMs: Date.now(),
      inFlight: new Map(all.map(held => [held.leaseId, held])),
      broken: 0,
      reported: false,
    };
    this.window = window;
    void this.probe(window);
    return window;
  }

  private async probe(window: CrashWindow): Promise<void> {
    const refused = await this.options.isRefusing();
    if (refused) this.reportCrash(window);
  }

  private reportCrash(window: CrashWindow): void {
    if (window.reported) return;
    window.reported = true;
    this.options.onCrash([...window.inFlight.values()]);
  }

  private isOver(window: CrashWindow): boolean {
    return Date.now() - window.startedAtMs > crashWindowMs;
  }
}
