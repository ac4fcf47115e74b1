/** Directory of the prompt parts in the KV caches of the fleet's engines. */
import {computeCompactKey} from './compactKey.js';
import type {PromptPart} from './messageCodec.js';

/** Each entry takes about 150 bytes. */
const maxParts = 20_000;
/** An engine may have evicted a part that was not used for longer than this. */
const retentionMs = 25_000;

/** Length in tokens of a prompt's cached prefix, by key of the engine. */
export interface CachedPrefixTokens {
  /** Includes parts that the engine is about to prefill. */
  readonly cachedTokens: Map<number, number>;
  /** Only parts that can already be copied to another engine. */
  readonly copyableTokens: Map<number, number>;
}

/** Prefill of a part by an engine. */
interface PartPrefill {
  usedAtMs: number;
  /** Time at which the prefill is expected to be complete. */
  readyAtMs: number;
}

/**
 * Tracks the prompt parts that requests of all routers have brought to engines.
 *
 * @example
 * directory.record(computeCompactKey('5c1e'), computeCompactKey('engine-7'), 0);
 * const parts = [{id: '5c1e', tokens: 800}];
 * const {copyableTokens} = directory.findCachedPrefixes(parts);
 * copyableTokens.get(computeCompactKey('engine-7')) === 800
 */
export class PrefixCacheDirectory {
  /** By compact key of the part, the least recently used first. */
  private readonly prefillsByPart = new Map<number, Map<number, PartPrefill>>();

  /**
   * Records that an engine prefills or reuses a part.
   *
   * @param part - compact key of the part
   * @param server - compact key of the engine
   * @param readyInMs - expected time until the part is prefilled
   * @returns whether the engine was not known to have the part
   */
  record(part: number, server: number, readyInMs: number): boolean {
    const servers =
      this.prefillsByPart.get(part) ?? new Map<number, PartPrefill>();
    this.prefillsByPart.delete(part);
    this.prefillsByPart.set(part, servers);
    const usedAtMs = performance.now();
    const readyAtMs = Math.min(
      servers.get(server)?.readyAtMs ?? Infinity,
      usedAtMs + readyInMs,
    );
    const isNew = !servers.has(server);
    servers.set(server, {usedAtMs, readyAtMs});
    if (this.prefillsByPart.size <= maxParts) return isNew;
    const [oldest] = this.prefillsByPart.keys();
    this.prefillsByPart.delete(oldest);
    return isNew;
  }

  /** Removes a part that the engine did not prefill after all. */
  remove(part: number, server: number): void {
    this.prefillsByPart.get(part)?.delete(server);
  }

  /** Removes all parts of an engine whose process has ended. */
  forgetServer(server: number): void {
    for (const servers of this.prefillsByPart.values()) servers.delete(server);
  }

  /** Finds the engines that have a prefix of the prompt cached. */
  findCachedPrefixes(parts: readonly PromptPart[]): CachedPrefixTokens {
    const nowMs = performance.now();
    const cachedTokens = new Map<number, number>();
    const copyableTokens = new Map<number, number>();
    let tokensBefore = 0;
    for (const [index, part] of parts.entries()) {
      let isCached = false;
      const reads = this.prefillsByPart.get(computeCompactKey(part.id)) ?? [];
      for (const [server, {usedAtMs, readyAtMs}] of reads) {
        if (usedAtMs < nowMs - retentionMs) continue;
        if (index > 0 && cachedTokens.get(server) !== tokensBefore) continue;
        const tokens = tokensBefore + part.tokens;
        cachedTokens.set(server, tokens);
        const isReady = readyAtMs <= nowMs;
        if (isReady && (copyableTokens.get(server) ?? 0) === tokensBefore) {
          copyableTokens.set(server, tokens);
        }
        isCached = true;
      }
      if (!isCached) break;
      tokensBefore += part.tokens;
    }
    return {cachedTokens, copyableTokens};
  }
}
