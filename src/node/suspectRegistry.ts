/** Requests that were in flight when backend servers crashed. */
import {BroadcastKind, type SuspectMark} from '../protocol/memberMessages.js';
import type {Broadcaster} from './broadcaster.js';

/** Time for which a mark counts, in milliseconds. */
export const suspectMarkLifetimeMs = 10 * 60_000;
/** Crashes after which a request is no longer run. */
export const guiltyCrashCount = 2;
/** Marked requests that are remembered; the oldest are forgotten first. */
const maxFingerprints = 20_000;

export type SuspectListener = () => void;

/** State of one marked request, for the dump. */
export interface SuspectStatus {
  fingerprint: string;
  crashes: number;
  remainingMs: number;
}

/**
 * Holds the suspect marks that members broadcast. A crash counts once for a
 * request, however often its mark arrives.
 *
 * @example
 * const suspects = new SuspectRegistry(node.broadcaster);
 * if (suspects.isGuilty(fingerprint)) refuse();
 */
export class SuspectRegistry {
  /** Ends of marks by fingerprint and crash id. */
  private readonly marks = new Map<string, Map<string, number>>();
  private readonly listeners = new Set<SuspectListener>();

  constructor(broadcaster: Pick<Broadcaster, 'subscribe'>) {
    broadcaster.subscribe(item => {
      if (item.kind === BroadcastKind.SuspectMarks) this.addMarks(item.marks);
    });
  }

  /** Calls the listener after each new mark. */
  subscribe(listener: SuspectListener): void {
    this.listeners.add(listener);
  }

  /** Number of crashes that count against a request now. */
  countCrashes(fingerprint: string): number {
    return this.listEnds(fingerprint).length;
  }

  /** True when a request must not be run any more. */
  isGuilty(fingerprint: string): boolean {
    return this.countCrashes(fingerprint) >= guiltyCrashCount;
  }

  /** Time until a guilty request may run again; 0 when it isn't guilty. */
  getRemainingMs(fingerprint: string): number {
    const ends = this.listEnds(fingerprint).sort((a, b) => b - a);
    const endAtMs = ends[guiltyCrashCount - 1];
    return endAtMs === undefined ? 0 : endAtMs - Date.now();
  }

  /** Lists the marked requests. */
  listSuspects(): SuspectStatus[] {
    return [...this.marks.keys()].flatMap(fingerprint => {
      const ends = this.listEnds(fingerprint);
      if (ends.length === 0) return [];
      const remainingMs = Math.max(...ends) - Date.now();
      return [{fingerprint, crashes: ends.length, remainingMs}];
    });
  }

  private addMarks(marks: readonly SuspectMark[]): void {
    const nowMs = Date.now();
    for (const {fingerprint, crashId, remainingMs} of marks) {
      const lifetimeMs = Math.min(remainingMs, suspectMarkLifetimeMs);
      const ends = this.marks.get(fingerprint) ?? new Map<string, number>();
      this.marks.delete(fingerprint);
      this.marks.set(fingerprint, ends);
      if (!ends.has(crashId)) ends.set(crashId, nowMs + lifetimeMs);
    }
    this.forgetOldest();
    for (const listener of this.listeners) listener();
  }

  private listEnds(fingerprint: string): number[] {
    const ends = this.marks.get(fingerprint);
    if (!ends) return [];
    const nowMs = Date.now();
    for (const [crashId, endAtMs] of ends) {
      if (endAtMs <= nowMs) ends.delete(crashId);
    }
    if (ends.size === 0) this.marks.delete(fingerprint);
    return [...ends.values()];
  }

  private forgetOldest(): void {
    for (const fingerprint of this.marks.keys()) {
      if (this.marks.size <= maxFingerprints) return;
      this.marks.delete(fingerprint);
    }
  }
}
