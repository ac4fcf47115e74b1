/** Token times of one attempt, or of the answer as its caller sees it. */
import type {LatencySample} from './latencyEstimates.js';

/** Measures token times relative to a start. */
export class AttemptTimes {
  /** Milliseconds from the start to the first token. */
  firstTokenMs: number | undefined;
  tokens = 0;
  private firstTokenAtMs = 0;
  private lastTokenAtMs = 0;

  /** @param startedAtMs - `performance.now()` of the start */
  constructor(private readonly startedAtMs = performance.now()) {}

  /** Records the arrival of a token. */
  noteToken(): void {
    const nowMs = performance.now();
    if (this.firstTokenMs === undefined) {
      this.firstTokenMs = nowMs - this.startedAtMs;
      this.firstTokenAtMs = nowMs;
    }
    this.lastTokenAtMs = nowMs;
    this.tokens += 1;
  }

  /** Mean milliseconds between tokens; undefined with fewer than two tokens. */
  get betweenTokensMs(): number | undefined {
    if (this.tokens < 2) return undefined;
    return (this.lastTokenAtMs - this.firstTokenAtMs) / (this.tokens - 1);
  }

  /** Milliseconds since the start. */
  getElapsedMs(): number {
    return performance.now() - this.startedAtMs;
  }

  /** Returns the known times; unknown ones are left out. */
  describe(): LatencySample {
    const {firstTokenMs, betweenTokensMs} = this;
    return {
      ...(firstTokenMs === undefined ? {} : {firstTokenMs}),
      ...(betweenTokensMs === undefined ? {} : {betweenTokensMs}),
    };
  }
}
