/** Tracks requests that were in flight when backend servers crashed. */
import {BroadcastKind, type SuspectMark} from '../protocol/memberMessages.js';
import type {Broadcaster} from './broadcaster.js';

/** Time for which a crash counts against a request. */
export const suspectMarkLifetimeMs = 10 * 60_000;
/** Number of crashes after which a request is no longer run. */
export const guiltyCrashCount = 2;
/** Marked requests that are remembered; the oldest are evicted first. */
const maxFingerprints = 20_000;

export type SuspectListener = () => void;

/** State of one marked request, for the dump. */
export interface SuspectStatus {
  fingerprint: string;
  crashes: number;
  remainingMs: number;
}

/**
 * Stores the suspect marks that members broadcast. Each crash counts only once
 * against a request, even if its mark arrives repeatedly.
 *
 * @example
 * const suspects = new SuspectRegistry(node.broadcaster);
 * if (suspects.isGuilty(fingerprint)) refuse();
 */
export class SuspectRegistry {
  /** Expiry times of marks (`Date.now()`), by fingerprint and crash id. */
  private readonly marks = new Map<string, Map<string, number>>();
  private readonly listeners = new Set<SuspectListener>();

  constructor(broadcaster: Pick<Broadcaster, 'subscribe'>) {
    broadcaster.subscribe(item => {
      if (item.kind === BroadcastKind.SuspectMarks) this.addMarks(item.marks);
    });
  }

  /** Calls the listener whenever marks arrive. */
  subscribe(listener: SuspectListener): void {
    this.listeners.add(listener);
  }

  /** Returns the number of crashes that count against a request now. */
  countCrashes(fingerprint: string): number {
    return this.listMarkExpiries(fingerprint).length;
  }

  /** True when a request must not be run because of its crashes. */
  isGuilty(fingerprint: string): boolean {
    return this.countCrashes(fingerprint) >= guiltyCrashCount;
  }

  /** Time until a request may run again; 0 when it may run now. */
  getRemainingMs(fingerprint: string): number {
    const expiriesMs = this.listMarkExpiries(fingerprint).sort((a, b) => b - a);
    const expiryMs = expiriesMs[guiltyCrashCount - 1];
    return expiryMs === undefined ? 0 : expiryMs - Date.now();
  }

  /** Lists the marked requests for the dump. */
  listSuspects(): SuspectStatus[] {
    return [...this.marks.keys()].flatMap(fingerprint => {
      const expiriesMs = this.listMarkExpiries(fingerprint);
      if (expiriesMs.length === 0) return [];
      const remainingMs = Math.max(...expiriesMs) - Date.now();
      return [{fingerprint, crashes: expiriesMs.length, remainingMs}];
    });
  }

  private addMarks(marks: readonly SuspectMark[]): void {
    const nowMs = Date.now();
    for (const {fingerprint, crashId, remainingMs} of marks) {
      const lifetimeMs = Math.min(remainingMs, suspectMarkLifetimeMs);
      const expiriesMs =
        this.marks.get(fingerprint) ?? new Map<string, number>();
      this.marks.delete(fingerprint);
      this.marks.set(fingerprint, expiriesMs);
      if (!expiriesMs.has(crashId)) expiriesMs.set(crashId, nowMs + lifetimeMs);
    }
    this.evictOldest();
    for (const listener of this.listeners) listener();
  }

  private listMarkExpiries(fingerprint: string): number[] {
    const expiriesMs = this.marks.get(fingerprint);
    if (!expiriesMs) return [];
    const nowMs = Date.now();
    for (const [crashId, expiryMs] of expiriesMs) {
      if (expiryMs <= nowMs) expiriesMs.delete(crashId);
    }
    if (expiriesMs.size === 0) this.marks.delete(fingerprint);
    return [...expiriesMs.values()];
  }

  private evictOldest(): void {
    for (const fingerprint of this.marks.keys()) {
      if (this.marks.size <= maxFingerprints) return;
      this.marks.delete(fingerprint);
    }
  }
}
