/** Requests that wait until the servers of a service have room for them. */

/**
 * Interval of the check of the requests that wait, in milliseconds. Room at the
 * servers also arises from the requests of other routers, whose reports arrive
 * about as often.
 */
const checkIntervalMs = 60;
/** Requests that a check wakes; each selects a server again. */
const wakesPerCheck = 4;
/** Time constant of the rate at which requests leave the queue for a server. */
const rateWindowMs = 1_000;

/**
 * Time for which slots are kept for requests as urgent as one that was refused
 * because all were taken. Others of its kind arrive within it in a burst.
 */
const slotShortageMs = 300;

/** A request that can wait. */
export interface HeldRequest {
  /** Urgency rank, from 0, the most urgent. */
  readonly rank: number;
  /** `performance.now()` until which it may wait. */
  readonly latestAtMs: number;
}

interface Entry extends HeldRequest {
  readonly wake: () => void;
}

/**
 * Holds the requests of one service, the most urgent first and among these the
 * one that can wait least. A woken request decides again whether it is sent.
 *
 * @example
 * if (queue.canWait(held)) await queue.wait(held, signal);
 */
export class HoldQueue {
  private readonly entries: Entry[] = [];
  private timer: NodeJS.Timeout | undefined;
  /** Requests sent after a wait, decayed by age. */
  private starts = 0;
  private startsAtMs = performance.now();
  /** When requests began to wait; the rate of starts is unknown before. */
  private waitingSinceMs = Infinity;
  /** Most urgent rank that was refused for want of slots, and when. */
  private shortage = {rank: Infinity, atMs: -Infinity};

  /** Number of requests that wait. */
  get size(): number {
    return this.entries.length;
  }

  /** Waits until the request should be decided again; never rejects. */
  wait(held: HeldRequest, signal: AbortSignal): Promise<void> {
    if (signal.aborted) return Promise.resolve();
    return new Promise(resolve => {
      const entry: Entry = {
        ...held,
        wake: () => {
          signal.removeEventListener('abort', leave);
          resolve();
        },
      };
      const leave = () => {
        this.remove(entry);
        entry.wake();
      };
      signal.addEventListener('abort', leave, {once: true});
      this.entries.splice(this.findPosition(held), 0, entry);
      if (this.timer) return;
      this.waitingSinceMs = performance.now();
      this.timer = setInterval(() => this.check(), checkIntervalMs);
    });
  }

  /**
   * False if the requests before it would take longer than it may wait, at the
   * rate at which requests have lately been sent.
   */
  canWait(held: HeldRequest): boolean {
    const nowMs = performance.now();
    if (nowMs - this.waitingSinceMs < rateWindowMs) return true;
    this.decay();
    const waitMs = held.latestAtMs - nowMs;
    const starts = (this.starts * waitMs) / rateWindowMs;
    return this.findPosition(held) <= starts;
  }

  /** Records that a request was sent after it had waited. */
  recordStart(): void {
    this.decay();
    this.starts += 1;
  }

  /** Records that a request was refused because all slots were taken. */
  recordSlotShortage(rank: number): void {
    const atMs = performance.now();
    const isOver = atMs - this.shortage.atMs >= slotShortageMs;
    if (isOver || rank <= this.shortage.rank) this.shortage = {rank, atMs};
  }

  /** True if requests of this rank must leave free slots to more urgent ones. */
  shouldLeaveSlots(rank: number): boolean {
    const {rank: refusedRank, atMs} = this.shortage;
    return refusedRank < rank && performance.now() - atMs < slotShortageMs;
  }

  /** Wakes the first request, because a server may have room. */
  wakeNext(): void {
    const entry = this.entries[0];
    if (!entry) return;
    this.remove(entry);
    entry.wake();
  }

  private check(): void {
    const nowMs = performance.now();
    const due = this.entries.filter(
      ({latestAtMs}, index) => index < wakesPerCheck || latestAtMs <= nowMs,
    );
    for (const entry of due) this.remove(entry);
    for (const entry of due) entry.wake();
    if (due.length > 0 || this.entries.length > 0) return;
    clearInterval(this.timer);
    this.timer = undefined;
    this.waitingSinceMs = Infinity;
  }

  /** Index before the first request that comes after this one. */
  private findPosition({rank, latestAtMs}: HeldRequest): number {
    const index = this.entries.findIndex(
      entry =>
        entry.rank > rank ||
        (entry.rank === rank && entry.latestAtMs > latestAtMs),
    );
    return index < 0 ? this.entries.length : index;
  }

  private remove(entry: Entry): void {
    const index = this.entries.indexOf(entry);
    if (index >= 0) this.entries.splice(index, 1);
  }

  private decay(): void {
    const nowMs = performance.now();
    this.starts *= Math.exp((this.startsAtMs - nowMs) / rateWindowMs);
    this.startsAtMs = nowMs;
  }
}

/**
 * Keeps one queue per service.
 *
 * @example
 * queues.get('pen-models').wakeNext();
 */
export class HoldQueues {
  private readonly queues = new Map<string, HoldQueue>();

  get(service: string): HoldQueue {
    let queue = this.queues.get(service);
    if (!queue) this.queues.set(service, (queue = new HoldQueue()));
    return queue;
  }

  /** Wakes the first request of each service. */
  wakeNext(): void {
    for (const queue of this.queues.values()) queue.wakeNext();
  }
}
