/** Sends requests with the same prompt prefix to the same backend server. */
import type {Configuration} from '../config/configuration.js';
import {sortByWeight} from '../node/rendezvous.js';
import {computeServerLoad} from './candidateChooser.js';
import type {ServerViews} from './serverViews.js';

/** A server above this multiple of the mean load isn't chosen for its cache. */
const maxLoadRatio = 1.25;
/**
 * Load per slot that is always accepted: in a nearly idle fleet the mean is so
 * low that every second request would miss the cache.
 */
const minLoadBound = 0.25;
/**
 * Number of servers that are tried per prefix, in the order of their weights.
 */
const maxRankedServers = 8;
const maxCachedPrefixes = 1_024;

export interface AffinityRequest {
  configuration: Configuration;
  views: ServerViews;
  /** All servers of the target; the same array for the same configuration. */
  servers: readonly string[];
  prefixDigest: string;
  /** True for servers that shouldn't get the request. */
  isAvoided: (backendServer: string) => boolean;
}

/**
 * Rendezvous hashing of prefixes with bounded loads.
 *
 * Source: Mirrokni, Thorup and Zadimoghaddam, "Consistent hashing with bounded
 * loads", 2018.
 */
export class PrefixAffinity {
  private readonly ranks = new WeakMap<
    readonly string[],
    Map<string, readonly string[]>
  >();

  /** Returns the server to ask first; undefined when none is suitable. */
  choose(request: AffinityRequest): string | undefined {
    const {configuration, views, servers, prefixDigest, isAvoided} = request;
    const bound = computeLoadBound(configuration, views, servers);
    return this.getRanks(servers, prefixDigest).find(id => {
      if (isAvoided(id)) return false;
      return (computeServerLoad(configuration, views, id) ?? 0) <= bound;
    });
  }

  private getRanks(
    servers: readonly string[],
    prefixDigest: string,
  ): readonly string[] {
    let ranks = this.ranks.get(servers);
    if (!ranks || ranks.size >= maxCachedPrefixes) {
      ranks = new Map();
      this.ranks.set(servers, ranks);
    }
    const existing = ranks.get(prefixDigest);
    if (existing) return existing;
    const sorted = sortByWeight(prefixDigest, servers, id => id);
    const best = sorted.slice(0, maxRankedServers);
    ranks.set(prefixDigest, best);
    return best;
  }
}

function computeLoadBound(
  configuration: Configuration,
  views: ServerViews,
  servers: readonly string[],
): number {
  let sum = 0;
  let count = 0;
  for (const id of servers) {
    const load = computeServerLoad(configuration, views, id);
    if (load === undefined) continue;
    sum += load;
    count += 1;
  }
  const mean = count === 0 ? 0 : sum / count;
  return Math.max(minLoadBound, mean * maxLoadRatio);
}
