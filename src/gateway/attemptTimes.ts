/** Times of one attempt's tokens, or of one answer's. */
import type {LatencySample} from './latencyEstimates.js';

/** Measures from a start. */
export class AttemptTimes {
  /** Milliseconds from the start to the first token. */
  firstTokenMs: number | undefined;
  tokens = 0;
  private firstTokenAtMs = 0;
  private lastTokenAtMs = 0;

  /** @param startedAtMs - `performance.now()` of the start */
  constructor(private readonly startedAtMs = performance.now()) {}

  /** A token arrived. */
  noteToken(): void {
    const nowMs = performance.now();
    if (this.firstTokenMs === undefined) {
      this.firstTokenMs = nowMs - this.startedAtMs;
      this.firstTokenAtMs = nowMs;
    }
    this.lastTokenAtMs = nowMs;
    this.tokens += 1;
  }

  /** Mean milliseconds between tokens; undefined below two tokens. */
  get betweenTokensMs(): number | undefined {
    if (this.tokens < 2) return undefined;
    return (this.lastTokenAtMs - this.firstTokenAtMs) / (this.tokens - 1);
  }

  /** Milliseconds since the start. */
  getAgeMs(): number {
    return performance.now() - this.startedAtMs;
  }

  /** Returns what is known, without undefined members. */
  describe(): LatencySample {
    const {firstTokenMs, betweenTokensMs} = this;
    return {
      ...(firstTokenMs === undefined ? {} : {firstTokenMs}),
      ...(betweenTokensMs === undefined ? {} : {betweenTokensMs}),
    };
  }
}
