/** Spreads small facts between members, carried on pings. */
import type {BroadcastItem} from '../protocol/memberMessages.js';
import {computeCopies, computeItemOrder} from './broadcastItems.js';

/** Most bytes of broadcast items on one ping. */
export const maxItemBytesPerPing = 1_200;
/** Items remembered, so that a known item isn't spread again. */
const maxRememberedItems = 20_000;

export type ItemHandler = (item: BroadcastItem) => void;

interface QueuedItem {
  item: BroadcastItem;
  bytes: number;
  sent: number;
}

/**
 * Infection-style dissemination: a new item is delivered locally once and then
 * sent along with pings until it has been sent often enough.
 *
 * Source: Das, Gupta and Motivala, "SWIM", 2002, section 4.1.
 */
export class Broadcaster {
  private readonly queue = new Map<string, QueuedItem>();
  private readonly seen = new Set<string>();
  private readonly orders = new Map<string, number>();
  private readonly handlers = new Set<ItemHandler>();

  constructor(private readonly countMembers: () => number) {}

  /** Calls the handler for each item that is new to this process. */
  subscribe(handler: ItemHandler): void {
    this.handlers.add(handler);
  }

  /**
   * Spreads an item under a key; a queued item under the same key is replaced.
   * Ignores an item that was seen before, and one that is older than another
   * under its key. Returns whether the item was new.
   */
  publish(key: string, item: BroadcastItem): boolean {
    const text = JSON.stringify(item);
    if (!this.remember(key, text, item)) return false;
    this.queue.set(key, {item, bytes: Buffer.byteLength(text), sent: 0});
    for (const handler of this.handlers) handler(item);
    return true;
  }

  /** Takes the items for one ping, least sent first. */
  takeItems(): BroadcastItem[] {
    const members = this.countMembers();
    const entries = [...this.queue.entries()].sort(
      ([, a], [, b]) => a.sent - b.sent,
    );
    const items: BroadcastItem[] = [];
    let bytes = 0;
    for (const [key, entry] of entries) {
      const fits = bytes + entry.bytes <= maxItemBytesPerPing;
      // An item above the limit travels alone.
      if (!fits && items.length > 0) continue;
      items.push(entry.item);
      bytes += entry.bytes;
      entry.sent += 1;
      if (entry.sent >= computeCopies(entry.item, members)) {
        this.queue.delete(key);
      }
      if (bytes >= maxItemBytesPerPing) break;
    }
    return items;
  }

  /** Number of items that are still being sent. */
  countQueued(): number {
    return this.queue.size;
  }

  /** Returns whether the item is new. */
  private remember(key: string, text: string, item: BroadcastItem): boolean {
    const order = computeItemOrder(item);
    if (order !== undefined) {
      if (order <= (this.orders.get(key) ?? -Infinity)) return false;
      // The newest key is the last one to be forgotten.
      this.orders.delete(key);
      this.orders.set(key, order);
      forgetOldest(this.orders);
      return true;
    }
    const identity = `${key}\0${text}`;
    if (this.seen.has(identity)) return false;
    this.seen.add(identity);
    forgetOldest(this.seen);
    return true;
  }
}

function forgetOldest(memory: Set<string> | Map<string, number>): void {
  if (memory.size <= maxRememberedItems) return;
  const oldest = memory.keys().next();
  if (!oldest.done) memory.delete(oldest.value);
}
