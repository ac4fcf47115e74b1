/** Age of a signal that a busy event loop handles late. */

/** Distance of the marks, and thereby half of the largest overestimate. */
const markIntervalMs = 50;

/**
 * Bounds the age of a signal when it is handled. A signal that was sent before a
 * poll for events began to wait is handled in it, so that one that is handled
 * now was sent after the poll before. A mark is set after a poll at an interval;
 * the last mark may lie behind that poll, the mark before it can't.
 */
export class SignalAge {
  private marks: [number, number] = [performance.now(), performance.now()];
  private timer: NodeJS.Timeout | undefined;
  private isRunning = false;

  /** Begins to set marks; doesn't keep the process running. */
  start(): void {
    this.isRunning = true;
    this.scheduleMark();
  }

  stop(): void {
    this.isRunning = false;
    clearTimeout(this.timer);
  }

  /**
   * Computes the longest time since a signal that is handled now was sent, in
   * milliseconds.
   *
   * @example
   * process.on('SIGTERM', () => drainUntil(graceMs - signalAge.computeMaxMs()));
   */
  computeMaxMs(): number {
    return performance.now() - this.marks[0];
  }

  private scheduleMark(): void {
    if (!this.isRunning) return;
    this.timer = setTimeout(() => {
      // Timers may fire more than once between two polls, immediates may not.
      setImmediate(() => {
        this.marks = [this.marks[1], performance.now()];
        this.scheduleMark();
      });
    }, markIntervalMs).unref();
  }
}
