/** Prompt prefixes that an engine has in its cache, from its events. */
import {CacheEventKind, type CacheEvents} from '../protocol/engineApi.js';

/** More prefixes than an engine's memory holds; the oldest are forgotten. */
const maxPrefixes = 10_000;

/**
 * Follows the events of one engine. A missing number may be an eviction, so
 * that nothing is known any more of what was stored before it.
 */
export class CachedPrefixes {
  private readonly digests = new Set<string>();
  private lastNumber = 0;

  /** Number after which events are to be read. */
  getLastNumber(): number {
    return this.lastNumber;
  }

  /** Number of prefixes that are thought to be cached. */
  get size(): number {
    return this.digests.size;
  }

  /** True when the engine is thought to have the prefix cached. */
  has(prefixDigest: string): boolean {
    return this.digests.has(prefixDigest);
  }

  /** Takes events in the order of their numbers. */
  apply({events}: CacheEvents): void {
    const sorted = [...events].sort((a, b) => a.number - b.number);
    for (const {number, kind, prefixDigest} of sorted) {
      if (number <= this.lastNumber) continue;
      if (number !== this.lastNumber + 1) this.digests.clear();
      this.lastNumber = number;
      this.digests.delete(prefixDigest);
      if (kind === CacheEventKind.Stored) this.digests.add(prefixDigest);
    }
    this.forgetOldest();
  }

  /** Forgets everything, e.g. because the engine may have restarted. */
  reset(): void {
    this.digests.clear();
    this.lastNumber = 0;
  }

  private forgetOldest(): void {
    for (const digest of this.digests) {
      if (this.digests.size <= maxPrefixes) return;
      this.digests.delete(digest);
    }
  }
}
