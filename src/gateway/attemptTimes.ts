/** Times of one attempt's tokens. */

/** Measures from the start of an attempt. */
export class AttemptTimes {
  /** Milliseconds from the start to the first token. */
  firstTokenMs: number | undefined;
  tokens = 0;
  private readonly startedAtMs = performance.now();
  private firstTokenAtMs = 0;
  private lastTokenAtMs = 0;

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
}
