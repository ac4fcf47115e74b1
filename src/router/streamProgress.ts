/** Event timing of a stream as its caller sees it, over all attempts. */
export class StreamProgress {
  private firstMs: number | undefined;
  private lastAtMs = 0;
  private longestPauseMs = 0;

  /** @param startedAtMs - `performance.now()` at the arrival of the request */
  constructor(private readonly startedAtMs: number) {}

  /** Records that events have just arrived. */
  recordEvents(): void {
    const nowMs = performance.now();
    if (this.firstMs === undefined) this.firstMs = nowMs - this.startedAtMs;
    else
      this.longestPauseMs = Math.max(
        this.longestPauseMs,
        nowMs - this.lastAtMs,
      );
    this.lastAtMs = nowMs;
  }

  /** Time from the arrival of the request to the first event. */
  get firstEventMs(): number | undefined {
    return this.firstMs;
  }

  /** Longest pause between events; 0 before the second event. */
  get maxPauseMs(): number {
    return this.longestPauseMs;
  }
}
