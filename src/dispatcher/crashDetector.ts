/** Distinguishes a crash of a backend server from a broken connection. */
import {LeaseEnd, type Release} from '../protocol/leaseMessages.js';
import type {HeldLease} from './heldLease.js';

/** Leases that break within this time of the first belong to one crash. */
export const crashWindowMs = 500;
/** Fewest leases that must break to count as a crash by themselves. */
const minBrokenLeases = 2;
/** Smallest ratio of the leases in flight that must break as well. */
const minBrokenRatio = 0.75;

export interface CrashDetectorOptions {
  /** Resolves to true if the server refuses a new connection. */
  isRefusingConnections: () => Promise<boolean>;
  /** Called once per crash with the leases that were in flight. */
  onCrash: (inFlight: HeldLease[]) => void;
}

/** Time after a broken lease in which further evidence is collected. */
interface CrashWindow {
  startedAtMs: number;
  inFlight: Map<string, HeldLease>;
  broken: number;
  reported: boolean;
}

/**
 * Reports a crash when most leases in flight break within a short time, or when
 * one breaks and the server then refuses a connection. A single broken
 * connection to a server that accepts new ones is no crash.
 */
export class CrashDetector {
  private window: CrashWindow | undefined;

  constructor(private readonly options: CrashDetectorOptions) {}

  /** Records the end of a lease, given the leases that are still in flight. */
  recordRelease(
    lease: HeldLease,
    {end}: Release,
    inFlight: readonly HeldLease[],
  ): void {
    if (end === LeaseEnd.ConnectFailed) {
      this.recordConnectFailure(lease);
      return;
    }
    if (end !== LeaseEnd.Broken) return;
    const window = this.findWindow(lease) ?? this.openWindow(lease, inFlight);
    if (window.reported) return;
    window.broken += 1;
    const needed = Math.max(
      minBrokenLeases,
      window.inFlight.size * minBrokenRatio,
    );
    if (window.broken >= needed) this.reportCrash(window);
  }

  /**
   * A request that couldn't connect didn't run, so it isn't a suspect; its
   * failure still shows that the server crashed.
   */
  private recordConnectFailure(lease: HeldLease): void {
    if (!this.window || this.isExpired(this.window)) return;
    this.window.inFlight.delete(lease.leaseId);
    this.reportCrash(this.window);
  }

  /** Finds the window that a broken lease belongs to. */
  private findWindow(lease: HeldLease): CrashWindow | undefined {
    if (!this.window) return undefined;
    // Leases that were in flight belong to the crash, even if they end late.
    if (this.window.reported && this.window.inFlight.has(lease.leaseId)) {
      return this.window;
    }
    return this.isExpired(this.window) ? undefined : this.window;
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
    const refused = await this.options.isRefusingConnections();
    if (refused) this.reportCrash(window);
  }

  private reportCrash(window: CrashWindow): void {
    if (window.reported) return;
    window.reported = true;
    this.options.onCrash([...window.inFlight.values()]);
  }

  private isExpired(window: CrashWindow): boolean {
    return Date.now() - window.startedAtMs > crashWindowMs;
  }
}
