/** Urgent notices from one router to all others. */

/**
 * Each report repeats a notice for this long, in milliseconds, because reports
 * may be lost.
 */
const repeatPeriodMs = 1_500;

/** Result of passing a key to a listener. */
export enum NoticeResult {
  /** The listener doesn't recognise the key. */
  Unrecognised,
  /** The listener recognises the key and has seen the notice before. */
  Known,
  /** The listener recognises the key and has acted on the notice. */
  New,
}

/** Handles a compact key from another router. */
export type NoticeListener = (key: number) => NoticeResult;

/**
 * Distributes compact keys with the reports. Only the listeners know what a key
 * stands for.
 *
 * @example
 * notices.watch(key => (remove(key) ? NoticeResult.New : NoticeResult.Known));
 * notices.announce(computeCompactKey(formatProcess(server)));
 */
export class SharedNotices {
  /** Keys to send, with the time until which they are repeated. */
  private readonly repeatUntilMs = new Map<number, number>();
  private readonly listeners: NoticeListener[] = [];

  /** @param sendNow - sends the next report at once */
  constructor(private readonly sendNow: () => void) {}

  /**
   * Adds a listener. It is called with each key from another router that no
   * earlier listener recognises.
   */
  watch(listener: NoticeListener): void {
    this.listeners.push(listener);
  }

  /** Sends a key to all other routers, at once and repeatedly. */
  announce(key: number): void {
    this.repeat(key);
    this.sendNow();
  }

  /** Sends a key with the next reports for a while. */
  repeat(key: number): void {
    this.repeatUntilMs.set(key, performance.now() + repeatPeriodMs);
  }

  /**
   * Handles the keys in a report.
   *
   * @param shouldRelay - true on a relay, for reports of its members
   */
  recordPeer(keys: readonly number[], shouldRelay: boolean): void {
    for (const key of keys) {
      const noticeResult = this.dispatch(key);
      if (noticeResult === NoticeResult.New && shouldRelay) this.repeat(key);
    }
  }

  /** Keys to send in the next report. */
  listPending(): number[] {
    const nowMs = performance.now();
    for (const [key, untilMs] of this.repeatUntilMs) {
      if (untilMs < nowMs) this.repeatUntilMs.delete(key);
    }
    return [...this.repeatUntilMs.keys()];
  }

  private dispatch(key: number): NoticeResult {
    for (const listener of this.listeners) {
      const noticeResult = listener(key);
      if (noticeResult !== NoticeResult.Unrecognised) return noticeResult;
    }
    return NoticeResult.Unrecognised;
  }
}
