/** Short notices of one router that all others must hear soon. */

/**
 * Each report repeats a notice for this long, because reports may be lost, in
 * milliseconds.
 */
const tellForMs = 1_500;

/** Takes a compact key; true when it concerns the listener and is news. */
export type NoticeListener = (key: number) => boolean;

/**
 * Spreads compact keys with the reports; what a key stands for is known to
 * those who listen.
 *
 * @example
 * notices.watch(key => directory.removeProcess(key));
 * notices.announce(computeKey(formatProcess(server)));
 */
export class SharedNotices {
  /** Keys to tell others of, with the end of that. */
  private readonly toldUntilMs = new Map<number, number>();
  private readonly listeners: NoticeListener[] = [];

  /** @param sendNow - sends the next report at once */
  constructor(private readonly sendNow: () => void) {}

  /** Calls a listener with each key that another router tells. */
  watch(listener: NoticeListener): void {
    this.listeners.push(listener);
  }

  /** Tells all other routers. */
  announce(key: number): void {
    this.addTold(key);
    this.sendNow();
  }

  /**
   * Takes keys from a report.
   *
   * @param passesOn - true at a relay, for the reports of its members
   */
  recordPeer(keys: readonly number[], passesOn: boolean): void {
    for (const key of keys) {
      const isNew = this.listeners.some(listener => listener(key));
      if (isNew && passesOn) this.addTold(key);
    }
  }

  /** Keys that the next report names. */
  listTold(): number[] {
    const nowMs = performance.now();
    for (const [key, untilMs] of this.toldUntilMs) {
      if (untilMs < nowMs) this.toldUntilMs.delete(key);
    }
    return [...this.toldUntilMs.keys()];
  }

  private addTold(key: number): void {
    this.toldUntilMs.set(key, performance.now() + tellForMs);
  }
}
