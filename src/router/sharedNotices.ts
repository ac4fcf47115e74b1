/** Short notices of one router that all others must hear soon. */

/**
 * Each report repeats a notice for this long, because reports may be lost, in
 * milliseconds.
 */
const tellForMs = 1_500;

/** What a listener makes of a key. */
export enum Notice {
  /** It stands for nothing that the listener knows. */
  Foreign,
  Known,
  News,
}

/** Takes a compact key that another router told. */
export type NoticeListener = (key: number) => Notice;

/**
 * Spreads compact keys with the reports; what a key stands for is known to
 * those who listen.
 *
 * @example
 * notices.watch(key => (remove(key) ? Notice.News : Notice.Known));
 * notices.announce(computeKey(formatProcess(server)));
 */
export class SharedNotices {
  /** Keys to tell others of, with the end of that. */
  private readonly toldUntilMs = new Map<number, number>();
  private readonly listeners: NoticeListener[] = [];

  /** @param sendNow - sends the next report at once */
  constructor(private readonly sendNow: () => void) {}

  /**
   * Calls a listener with each key that another router tells and that is foreign
   * to the listeners before it.
   */
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
      const notice = this.take(key);
      if (notice === Notice.News && passesOn) this.addTold(key);
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

  private take(key: number): Notice {
    for (const listener of this.listeners) {
      const notice = listener(key);
      if (notice !== Notice.Foreign) return notice;
    }
    return Notice.Foreign;
  }

  private addTold(key: number): void {
    this.toldUntilMs.set(key, performance.now() + tellForMs);
  }
}
