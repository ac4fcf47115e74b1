/** Prefix cache of the model engine stand-in, and its events. */
import {CacheEventKind, type CacheEvents} from '../protocol/engineApi.js';
import type {SeededRandom} from './seededRandom.js';

/** Number of latest events that are kept. */
const maxKeptEvents = 10_000;

export interface PrefixCacheOptions {
  prefixCacheEntries: number;
  cacheEventDelayMs: number;
  cacheEventLossShare: number;
}

type CacheEvent = CacheEvents['events'][number] & {atMs: number};

/** Set of prefix digests with least-recently-used eviction. */
export class PrefixCache {
  /** In order of last use, the least recent first. */
  private readonly digests = new Set<string>();
  private events: CacheEvent[] = [];
  private lastNumber = 0;

  constructor(
    private readonly options: PrefixCacheOptions,
    private readonly random: SeededRandom,
  ) {}

  /** Records the use of a prefix; returns whether it was cached. */
  touch(prefixDigest: string): boolean {
    const wasCached = this.digests.delete(prefixDigest);
    this.digests.add(prefixDigest);
    if (wasCached) return true;
    this.emit(CacheEventKind.Stored, prefixDigest);
    if (this.digests.size > this.options.prefixCacheEntries) {
      const [oldest] = this.digests;
      this.digests.delete(oldest);
      this.emit(CacheEventKind.Evicted, oldest);
    }
    return false;
  }

  /** Lists the events after a number that are older than the event delay. */
  listEventsAfter(after: number): CacheEvents {
    const latestVisibleMs = Date.now() - this.options.cacheEventDelayMs;
    const events = this.events
      .filter(event => event.number > after && event.atMs <= latestVisibleMs)
      .map(({number, kind, prefixDigest}) => ({number, kind, prefixDigest}));
    return {events};
  }

  /** Records an event, unless it is to be lost; that leaves a number gap. */
  private emit(kind: CacheEventKind, prefixDigest: string): void {
    this.lastNumber += 1;
    if (this.random.draw() < this.options.cacheEventLossShare) return;
    const number = this.lastNumber;
    this.events.push({number, kind, prefixDigest, atMs: Date.now()});
    if (this.events.length > maxKeptEvents) this.events.shift();
  }
}
