/** Rate limits of the platform stand-in. */

const windowMs = 1_000;

/** Counts calls and allows a number of them in each second. */
export class ReadRateLimiter {
  allowedCalls = 0;
  refused = 0;
  /** Most calls received in one second, refused ones included. */
  peakPerSecond = 0;
  private windowStartMs = -Infinity;
  private callsInWindow = 0;

  constructor(readonly limitPerSecond: number) {}

  /** Counts a call; returns false above the limit of this second. */
  acquire(): boolean {
    const nowMs = Date.now();
    if (nowMs - this.windowStartMs >= windowMs) {
      this.windowStartMs = nowMs;
      this.callsInWindow = 0;
    }
    this.callsInWindow += 1;
    this.peakPerSecond = Math.max(this.peakPerSecond, this.callsInWindow);
    const isAllowed = this.callsInWindow <= this.limitPerSecond;
    if (isAllowed) this.allowedCalls += 1;
    else this.refused += 1;
    return isAllowed;
  }

  /** Returns the milliseconds until the next window. */
  getWaitMs(): number {
    return Math.max(0, this.windowStartMs + windowMs - Date.now());
  }
}
