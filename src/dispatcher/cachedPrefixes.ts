/** Prompt prefixes in an engine's cache, as reported by its cache events. */
import {CacheEventKind, type CacheEvents} from '../protocol/engineApi.js';

/** More than an engine's cache holds; above it, the oldest are forgotten. */
const maxPrefixes = 10_000;

/**
 * Follows the cache events of one engine. A missing event number may be a lost
 * eviction, so all prefixes stored before it are forgotten.
 */
export class CachedPrefixes {
  private readonly digests = new Set<string>();
  private lastEventNumber = 0;

  /** Number of the last event applied; later events are yet to be read. */
  getLastNumber(): number {
    return this.lastEventNumber;
  }

  /** Number of prefixes that are assumed to be cached. */
  get size(): number {
    return this.digests.size;
  }

  /** True if the engine is assumed to have the prefix in its cache. */
  has(prefixDigest: string): boolean {
    return this.digests.has(prefixDigest);
  }

  /** Applies events in the order of their numbers, and skips known ones. */
  apply({events}: CacheEvents): void {
    const sorted = [...events].sort((a, b) => a.number - b.number);
    for (const {number, kind, prefixDigest} of sorted) {
      if (number <= this.lastEventNumber) continue;
      if (number !== this.lastEventNumber + 1) this.digests.clear();
      this.lastEventNumber = number;
      this.digests.delete(prefixDigest);
      if (kind === CacheEventKind.Stored) this.digests.add(prefixDigest);
    }
    this.forgetOldest();
  }

  /** Forgets everything, e.g. because the engine may have restarted. */
  reset(): void {
    this.digests.clear();
    this.lastEventNumber = 0;
  }

  private forgetOldest(): void {
    for (const digest of this.digests) {
      if (this.digests.size <= maxPrefixes) return;
      this.digests.delete(digest);
    }
  }
}
