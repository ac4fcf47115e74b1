/** Requests that wait until the servers of a service have room for them. */
import {
  ShareKind,
  type CustomerShares,
} from '../customerShares/customerShares.js';
import {FairQueue} from '../node/fairQueue.js';

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
  /** Customers with the same name wait as one; empty unless shares apply. */
  readonly customer?: string;
}

interface Entry extends HeldRequest {
  readonly customer: string;
  readonly wake: () => void;
}

/**
 * Holds the requests of one service, the most urgent first and among these the
 * one that can wait least. Customers beyond their shares come after the others
 * of the same rank, in fair order among themselves. A woken request decides
 * again whether it is sent.
 *
 * @example
 * if (queue.canWait(held)) await queue.wait(held, signal);
 */
export class HoldQueue {
  private readonly queues = new Map<number, FairQueue<Entry>>();
  private timer: NodeJS.Timeout | undefined;
  /** Requests sent after a wait, decayed by age. */
  private starts = 0;
  private startsAtMs = performance.now();
  /** When requests began to wait; the rate of starts is unknown before. */
  private waitingSinceMs = Infinity;
  /** Most urgent rank that was refused for want of slots, and when. */
  private shortage = {rank: Infinity, atMs: -Infinity};

  /** @param isBeyondShare - true if a customer's requests wait for others */
  constructor(
    private readonly isBeyondShare: (
      rank: number,
      customer: string,
    ) => boolean = () => false,
  ) {}

  /** Number of requests that wait. */
  get size(): number {
    let size = 0;
    for (const queue of this.queues.values()) size += queue.length;
    return size;
  }

  /** Waits until the request should be decided again; never rejects. */
  wait(held: HeldRequest, signal: AbortSignal): Promise<void> {
    if (signal.aborted) return Promise.resolve();
    return new Promise(resolve => {
      const entry: Entry = {
        ...held,
        customer: held.customer ?? '',
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
      this.getQueue(held.rank).push(entry);
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
    return this.countBefore(held) <= starts;
  }

  /**
   * Records that a request was sent after it had waited.
   *
   * @param useMs - time for which it will use a server
   */
  recordStart(held?: HeldRequest, useMs = 0): void {
    this.decay();
    this.starts += 1;
    if (held) this.getQueue(held.rank).charge(held.customer ?? '', useMs);
  }

  /** True if a request of this rank waits whose customer is within its share. */
  hasWithinShare(rank: number): boolean {
    const heads = this.queues.get(rank)?.listHeads() ?? [];
    return heads.some(({customer}) => !this.isBeyondShare(rank, customer));
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
    const entry = this.findNext();
    if (!entry) return;
    this.remove(entry);
    entry.wake();
  }

  private check(): void {
    const nowMs = performance.now();
    const due: Entry[] = [];
    const takeDue = (entry: Entry) => {
      this.remove(entry);
      due.push(entry);
    };
    for (let i = 0; i < wakesPerCheck; i++) {
      const next = this.findNext();
      if (next) takeDue(next);
    }
    for (const queue of this.queues.values()) {
      for (const entry of queue.listEntries()) {
        if (entry.latestAtMs <= nowMs) takeDue(entry);
      }
    }
    for (const entry of due) entry.wake();
    if (due.length > 0 || this.size > 0) return;
    clearInterval(this.timer);
    this.timer = undefined;
    this.waitingSinceMs = Infinity;
  }

  private findNext(): Entry | undefined {
    const ranks = [...this.queues.keys()].sort((a, b) => a - b);
    for (const rank of ranks) {
      const queue = this.getQueue(rank);
      if (queue.length === 0) continue;
      const within = queue
        .listHeads()
        .filter(({customer}) => !this.isBeyondShare(rank, customer))
        .sort((a, b) => a.latestAtMs - b.latestAtMs);
      return within[0] ?? queue.getHead();
    }
    return undefined;
  }

  /** Number of requests that come before this one. */
  private countBefore({rank, latestAtMs, customer = ''}: HeldRequest): number {
    const beyond = new Map<string, boolean>();
    const isBeyond = (name: string) => {
      const known = beyond.get(name) ?? this.isBeyondShare(rank, name);
      beyond.set(name, known);
      return known;
    };
    const isBefore = (entry: Entry) =>
      isBeyond(entry.customer) === isBeyond(customer)
        ? entry.latestAtMs <= latestAtMs
        : isBeyond(customer);
    let count = 0;
    for (const [queueRank, queue] of this.queues) {
      if (queueRank < rank) count += queue.length;
      if (queueRank === rank)
        count += queue.listEntries().filter(isBefore).length;
    }
    return count;
  }

  private getQueue(rank: number): FairQueue<Entry> {
    let queue = this.queues.get(rank);
    if (!queue) {
      queue = new FairQueue((a, b) => a.latestAtMs - b.latestAtMs);
      this.queues.set(rank, queue);
    }
    return queue;
  }

  private remove(entry: Entry): void {
    this.queues.get(entry.rank)?.remove(entry);
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

  constructor(private readonly shares: CustomerShares) {}

  get(service: string): HoldQueue {
    let queue = this.queues.get(service);
    if (!queue) {
      queue = new HoldQueue(
        (tier, customer) =>
          this.shares.check({service, tier, customer}).kind ===
          ShareKind.Beyond,
      );
      this.queues.set(service, queue);
    }
    return queue;
  }

  /** Wakes the first request of each service. */
  wakeNext(): void {
    for (const queue of this.queues.values()) queue.wakeNext();
  }
}
