/** Fair queueing between customers of the same priority. */

interface CustomerEntries<E> {
  entries: E[];
  startTag: number;
}

/**
 * Start-time fair queueing between customers; within a customer first in first
 * out, or in a given order. Only the first entry of a customer has a start tag,
 * so that a cancelled entry costs its customer nothing.
 *
 * Source: Goyal, Vin and Cheng, "Start-time Fair Queueing", 1996.
 *
 * @example
 * const entry = queue.getHead();
 * if (entry) queue.take(entry, entry.costMs);
 */
export class FairQueue<E extends {customer: string}> {
  private customers = new Map<string, CustomerEntries<E>>();
  private finishTags = new Map<string, number>();
  private virtualTime = 0;
  private size = 0;
  /** Cached until an entry is added or removed. */
  private head: E | undefined;

  /**
   * @param compare - order within a customer, as for `Array.sort`; entries that
   *     are equal stay in order of arrival
   */
  constructor(private readonly compare: (a: E, b: E) => number = () => 0) {}

  /** Number of waiting entries. */
  get length(): number {
    return this.size;
  }

  /** Adds an entry in the order within its customer. */
  push(entry: E): void {
    this.size += 1;
    this.head = undefined;
    const waiting = this.customers.get(entry.customer);
    if (waiting) {
      const index = waiting.entries.findIndex(
        other => this.compare(other, entry) > 0,
      );
      const position = index < 0 ? waiting.entries.length : index;
      waiting.entries.splice(position, 0, entry);
      return;
    }
    const finishTag = this.finishTags.get(entry.customer) ?? 0;
    const startTag = Math.max(this.virtualTime, finishTag);
    this.customers.set(entry.customer, {entries: [entry], startTag});
  }

  /** Returns the entry to serve next. */
  getHead(): E | undefined {
    this.head ??= this.findHead(() => true);
    return this.head;
  }

  /** Returns the entry to serve next among the eligible ones. */
  findHead(isEligible: (entry: E) => boolean): E | undefined {
    let head: E | undefined;
    let headTag = Infinity;
    for (const {entries, startTag} of this.customers.values()) {
      if (startTag >= headTag) continue;
      const candidate = entries.find(isEligible);
      if (!candidate) continue;
      head = candidate;
      headTag = startTag;
    }
    return head;
  }

  /** Lists the first entry of each customer. */
  listHeads(): E[] {
    return [...this.customers.values()].map(({entries}) => entries[0]);
  }

  /** Removes an entry that is served and charges its customer. */
  take(entry: E, cost = 1): void {
    if (!this.customers.has(entry.customer)) return;
    this.charge(entry.customer, cost);
    this.remove(entry);
  }

  /** Charges a customer for a served entry, which may be removed already. */
  charge(customer: string, cost: number): void {
    const waiting = this.customers.get(customer);
    const finishTag = this.finishTags.get(customer) ?? 0;
    const startTag = waiting?.startTag ?? Math.max(this.virtualTime, finishTag);
    this.virtualTime = Math.max(this.virtualTime, startTag);
    this.finishTags.set(customer, startTag + cost);
    this.head = undefined;
    if (waiting) waiting.startTag = startTag + cost;
  }

  /**
   * Removes an entry without charging its customer; returns false if it isn't
   * queued here.
   */
  remove(entry: E): boolean {
    const waiting = this.customers.get(entry.customer);
    const index = waiting?.entries.indexOf(entry) ?? -1;
    if (!waiting || index < 0) return false;
    waiting.entries.splice(index, 1);
    this.size -= 1;
    this.head = undefined;
    if (waiting.entries.length === 0) this.customers.delete(entry.customer);
    if (this.size === 0) this.resetTags();
    return true;
  }

  /** Lists the waiting entries, in no particular order. */
  listEntries(): E[] {
    return [...this.customers.values()].flatMap(({entries}) => entries);
  }

  /** Returns a copy that can be drained without affecting this queue. */
  buildCopy(): FairQueue<E> {
    const copy = new FairQueue<E>(this.compare);
    for (const [customer, {entries, startTag}] of this.customers) {
      copy.customers.set(customer, {entries: [...entries], startTag});
    }
    copy.finishTags = new Map(this.finishTags);
    copy.virtualTime = this.virtualTime;
    copy.size = this.size;
    return copy;
  }

  private resetTags(): void {
    this.finishTags.clear();
    this.virtualTime = 0;
  }
}
