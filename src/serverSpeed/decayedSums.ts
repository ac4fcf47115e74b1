/** Sums of work and time by server process, which decay with their age. */
import type {SpeedSums} from './speedEstimate.js';

/** Half-life of the sums, in milliseconds. */
const halfLifeMs = 15_000;
/** Sums of less time than this don't affect an estimate, in milliseconds. */
const minSumMs = 10;

interface Sums {
  work: number;
  ms: number;
  updatedAtMs: number;
  sampledAtMs: number;
}

/**
 * Sums up the samples of this router.
 *
 * @example
 * sums.add(processKey, {work: 4_000, ms: 100});
 * totals.register(TotalsTopic.ServerSpeed, () => sums.listRows());
 */
export class DecayedSums {
  private readonly sums = new Map<number, Sums>();

  /** @param key - compact key of the server's process */
  add(key: number, {work, ms}: SpeedSums): void {
    const nowMs = performance.now();
    const sums = this.sums.get(key) ?? {
      work: 0,
      ms: 0,
      updatedAtMs: nowMs,
      sampledAtMs: nowMs,
    };
    this.sums.set(key, sums);
    decay(sums, nowMs);
    sums.work += work;
    sums.ms += ms;
    sums.sampledAtMs = nowMs;
  }

  /** Time since the last sample, in milliseconds; undefined if there is none. */
  measureAgeMs(key: number): number | undefined {
    const sums = this.sums.get(key);
    return sums && Math.round(performance.now() - sums.sampledAtMs);
  }

  /** Lists the sums as rows of whole numbers, and removes those that decayed. */
  listRows(): Array<[key: number, work: number, ms: number]> {
    const nowMs = performance.now();
    const rows: Array<[number, number, number]> = [];
    for (const [key, sums] of this.sums) {
      decay(sums, nowMs);
      if (sums.ms < minSumMs) this.sums.delete(key);
      else rows.push([key, Math.round(sums.work), Math.round(sums.ms)]);
    }
    return rows;
  }
}

function decay(sums: Sums, nowMs: number): void {
  const factor = 0.5 ** ((nowMs - sums.updatedAtMs) / halfLifeMs);
  sums.work *= factor;
  sums.ms *= factor;
  sums.updatedAtMs = nowMs;
}
