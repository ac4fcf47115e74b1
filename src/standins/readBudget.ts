/** Rate limits of the platform stand-in. */

const secondMs = 1_000;

/** Counts calls and allows a number of them in each second. */
export class ReadBudget {
  allowed = 0;
  refused = 0;
  /** Most calls received in one second, refused ones included. */
  peakPerSecond = 0;
  private windowStartMs = -Infinity;
  private inWindow = 0;

  constructor(readonly limitPerSecond: number) {}

  /** Counts a call; false when the budget of this second is spent. */
  acquire(): boolean {
    const nowMs = Date.now();
    if (nowMs - this.windowStartMs >= secondMs) {
      this.windowStartMs = nowMs;
      this.inWindow = 0;
    }
    this.inWindow += 1;
    this.peakPerSecond = Math.max(this.peakPerSecond, this.inWindow);
    const isAllowed = this.inWindow <= this.limitPerSecond;
    if (isAllowed) this.allowed += 1;
    else this.refused += 1;
    return isAllowed;
  }

  /** Milliseconds until the next second begins. */
  getWaitMs(): number {
    return Math.max(0, this.windowStartMs + secondMs - Date.now());
  }
}
