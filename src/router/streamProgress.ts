/** What the caller of a stream has seen so far, over all sends. */
export class StreamProgress {
  private firstMs: number | undefined;
  private lastAtMs = 0;
  private pauseMs = 0;

  /** @param startedAtMs - arrival of the request, of the runtime's clock */
  constructor(private readonly startedAtMs: number) {}

  /** Takes note that events have just arrived. */
  recordEvents(): void {
    const nowMs = performance.now();
    if (this.firstMs === undefined) this.firstMs = nowMs - this.startedAtMs;
    else this.pauseMs = Math.max(this.pauseMs, nowMs - this.lastAtMs);
    this.lastAtMs = nowMs;
  }

  /** Time from the arrival of the request, in milliseconds. */
  get firstEventMs(): number | undefined {
    return this.firstMs;
  }

  /** Longest pause between events in milliseconds; 0 before the second. */
  get maxPauseMs(): number {
    return this.pauseMs;
  }
}
