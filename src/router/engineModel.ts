/**
 * Model of the time that an engine takes for a prompt, and of the pauses that
 * the prompt causes in the streams beside it.
 */

/**
 * Context length at which an engine spends as long on attention as on the rest
 * of the model. It is between 40,000 and 110,000 tokens for large models.
 */
const attentionParityTokens = 60_000;

/**
 * Computes the work of prefilling a part of a prompt, as the number of tokens
 * without context that take as long. It is a whole number, so that sums have no
 * rounding errors.
 *
 * @param contextTokens - tokens of the prompt before the part
 * @example
 * computePrefillWork(3_000, 0) === 3_075
 * computePrefillWork(3_000, 12_000) === 3_675
 */
export function computePrefillWork(
  tokens: number,
  contextTokens: number,
): number {
  const meanContextTokens = contextTokens + tokens / 2;
  return Math.round(tokens * (1 + meanContextTokens / attentionParityTokens));
}

/** Time constant of a copy besides the transfer itself. */
const kvCopySetupMs = 8;
/** A copy between availability zones takes this multiple of the time. */
const crossZoneCopyFactor = 2;

/** What the deployment says of copies between engines. */
export interface KvTransfer {
  readonly kvBytesPerToken: number;
  /** Undefined when the deployment does not say it. */
  readonly kvLinkMbps?: number;
}

/**
 * Estimates the time of copying KV cache between two idle engines.
 *
 * @example
 * // 13,300 tokens of 320 KiB over 550 Gbit/s
 * const transfer = {kvBytesPerToken: 327_680, kvLinkMbps: 550_000};
 * estimateCopyMs(13_300, transfer, true) // about 71 ms
 */
export function estimateCopyMs(
  tokens: number,
  {kvBytesPerToken, kvLinkMbps}: KvTransfer,
  isSameZone: boolean,
): number {
  if (kvLinkMbps === undefined) return kvCopySetupMs;
  const bitsPerMs = kvLinkMbps * 1_000;
  const transferMs = (tokens * kvBytesPerToken * 8) / bitsPerMs;
  return kvCopySetupMs + transferMs * (isSameZone ? 1 : crossZoneCopyFactor);
}

/**
 * Spread of the time to the first event as a ratio of the target. Other routers
 * place prompts on the same engine before this one hears of them, and engines
 * share their machines.
 */
const firstEventSpreadRatio = 0.15;

/**
 * Estimates the probability that a first event misses its target.
 *
 * @param expectedMs - expected time from now
 * @param waitedMs - time since the request arrived
 * @param targetMs - target of the route
 * @example
 * estimateMissProbability(400, 100, 500) === 0.5
 */
export function estimateMissProbability(
  expectedMs: number,
  waitedMs: number,
  targetMs: number,
): number {
  const excessMs = waitedMs + expectedMs - targetMs;
  return 1 / (1 + Math.exp(-excessMs / (firstEventSpreadRatio * targetMs)));
}

/**
 * A prefill below this ratio of the pause that a stream tolerates leaves room
 * for the engine's steps and for a slowed machine.
 */
const harmlessPauseRatio = 0.3;

/**
 * Estimates the probability that a prefill makes a stream beside it late. The
 * probability rises from 0 to 1 as the prefill approaches the pause that the
 * stream tolerates.
 *
 * @example
 * estimatePauseProbability(75, 250) === 0
 * estimatePauseProbability(250, 250) === 1
 */
export function estimatePauseProbability(
  prefillMs: number,
  maxPauseMs: number,
): number {
  const ratio = prefillMs / maxPauseMs;
  const probability = (ratio - harmlessPauseRatio) / (1 - harmlessPauseRatio);
  return Math.min(1, Math.max(0, probability));
}

/** Assumed prefill rate of an engine before the first sample. */
const initialTokensPerMs = 40;
/** Weight of the assumed rate, as milliseconds of prefill. */
const initialSampleMs = 400;
/** Factor by which a new sample reduces the weight of the earlier ones. */
const sampleDecay = 0.95;
/**
 * A first event that takes longer than this multiple of the expected prefill
 * waited for something else, such as a stalled engine.
 */
const maxSampleDelayRatio = 4;
/** Fixed part of the time to the first event. */
export const firstEventOverheadMs = 20;
/** Prefills with less work take as long as the fixed part. */
export const minSampleWork = 1_024;

/** What an engine did until a first event. */
export interface PrefillSample {
  /** Work of the prompt. */
  readonly prefillWork: number;
  /** Work of the prompts before it at the engine. */
  readonly backlogWork: number;
  /** Lasting speed of the engine as a multiple of the mean. */
  readonly speed: number;
}

/**
 * Learns from first events how a service's engines prefill. The rate is that of
 * an engine of mean speed.
 *
 * @example
 * const statistics = new PrefillStatistics();
 * statistics.record({prefillWork: 9_000, backlogWork: 3_000, speed: 1}, 260);
 * statistics.tokensPerMs; // rises above 40
 */
export class PrefillStatistics {
  private work = initialTokensPerMs * initialSampleMs;
  private ms = initialSampleMs;
  private ownWork = 0;
  private squaredOwnWork = 0;

  /** Work that an engine does in a millisecond, in tokens without context. */
  get tokensPerMs(): number {
    return this.work / this.ms;
  }

  /**
   * Mean work that is left of the prompt that a busy engine is prefilling. Long
   * prompts count more, because an engine is found at them more often.
   */
  get residualWork(): number {
    return this.ownWork > 0 ? this.squaredOwnWork / (2 * this.ownWork) : 0;
  }

  /**
   * Records a first event.
   *
   * @param ms - time from sending the request to its first event
   */
  record({prefillWork, backlogWork, speed}: PrefillSample, ms: number): void {
    this.ownWork = this.ownWork * sampleDecay + prefillWork;
    this.squaredOwnWork = this.squaredOwnWork * sampleDecay + prefillWork ** 2;
    const work = prefillWork + backlogWork;
    if (work < minSampleWork) return;
    // The work that an engine of mean speed does in the same time.
    const meanWork = work / speed;
    const maxMs = (maxSampleDelayRatio * meanWork) / this.tokensPerMs;
    const prefillMs = Math.min(maxMs, Math.max(1, ms - firstEventOverheadMs));
    this.work = this.work * sampleDecay + meanWork;
    this.ms = this.ms * sampleDecay + prefillMs;
  }
}
