/** Detects requests that repeatedly break connections to backend servers. */
import {h32Raw, h32} from '../node/hashFunctions.js';

/**
 * Number of consecutive broken connections, without an answer in between, after
 * which a request is blocked.
 */
export const maxBreaks = 3;
/**
 * Duration of the first block. It doubles with each further break. Blocks are
 * temporary, because a request whose connections broke by coincidence must get
 * through again.
 */
const initialBlockMs = 4_000;
/** A suspect is discarded when it is not updated for this long. */
const retentionMs = 60_000;
/** Each entry takes about 100 bytes. */
const maxSuspects = 5_000;

interface Suspect {
  ownBreaks: number;
  peerBreaks: Map<number, number>;
  updatedAtMs: number;
}

/**
 * Computes a fingerprint that stays the same when a request is sent again with
 * another attempt id.
 */
export function computeFingerprint(
  path: string,
  customer: string | undefined,
  body: Buffer,
): number {
  return h32(`${customer ?? ''}\0${path}`, h32Raw(body));
}

/** Counts broken connections per request, across all routers. */
export class CrashSuspects {
  private readonly suspects = new Map<number, Suspect>();
  private changed = new Set<number>();

  /** Records that a connection broke while the server ran the request. */
  recordBreak(fingerprint: number): void {
    this.touch(fingerprint).ownBreaks += 1;
    this.changed.add(fingerprint);
  }

  /**
   * Records the number of breaks that another router has counted.
   *
   * @param peer - compact key of the router's address
   */
  recordPeerBreaks(peer: number, fingerprint: number, breaks: number): void {
    this.touch(fingerprint).peerBreaks.set(peer, breaks);
  }

  /** Returns true while the request must not be sent to backend servers. */
  isBlocked(fingerprint: number): boolean {
    const suspect = this.suspects.get(fingerprint);
    if (!suspect) return false;
    const ageMs = performance.now() - suspect.updatedAtMs;
    if (ageMs > retentionMs) {
      this.suspects.delete(fingerprint);
      return false;
    }
    let breaks = suspect.ownBreaks;
    for (const count of suspect.peerBreaks.values()) breaks += count;
    if (breaks < maxBreaks) return false;
    return ageMs < initialBlockMs * 2 ** (breaks - maxBreaks);
  }

  /** Clears a request that was answered, and thus does not crash servers. */
  removeSuspect(fingerprint: number): void {
    this.suspects.delete(fingerprint);
  }

  /** Returns this router's counts that changed since the last call. */
  drainChanged(): Array<[number, number]> {
    const counts = [...this.changed].map((fingerprint): [number, number] => [
      fingerprint,
      this.suspects.get(fingerprint)?.ownBreaks ?? 0,
    ]);
    this.changed = new Set();
    return counts;
  }

  private touch(fingerprint: number): Suspect {
    const suspect = this.suspects.get(fingerprint) ?? {
      ownBreaks: 0,
      peerBreaks: new Map<number, number>(),
      updatedAtMs: 0,
    };
    suspect.updatedAtMs = performance.now();
    this.suspects.delete(fingerprint);
    this.suspects.set(fingerprint, suspect);
    if (this.suspects.size > maxSuspects) {
      const [oldest] = this.suspects.keys();
      this.suspects.delete(oldest);
    }
    return suspect;
  }
}
