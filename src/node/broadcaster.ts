/** Gossip between members: small items that are piggybacked on pings. */
import type {BroadcastItem} from '../protocol/memberMessages.js';
import {computeCopies, computeItemOrder} from './broadcastItems.js';

/** Limit for the broadcast items on one ping; a larger item travels alone. */
export const maxItemBytesPerPing = 1_200;
/** Items that are remembered, so that a known one is not sent again. */
const maxSeenItems = 20_000;

export type ItemHandler = (item: BroadcastItem) => void;

interface QueuedItem {
  item: BroadcastItem;
  bytes: number;
  /** Number of times that the item was sent. */
  sent: number;
}

/**
 * Infection-style dissemination: a new item is delivered once to the local
 * handlers and then piggybacked on pings until it has been sent as often as
 * `computeCopies` requires.
 *
 * Source: Das, Gupta and Motivala, "SWIM", 2002, section 4.1.
 */
export class Broadcaster {
  private readonly queue = new Map<string, QueuedItem>();
  private readonly seen = new Set<string>();
  private readonly latestOrders = new Map<string, number>();
  private readonly handlers = new Set<ItemHandler>();

  constructor(private readonly countMembers: () => number) {}

  /** Calls the handler for each item that is new to this process. */
  subscribe(handler: ItemHandler): void {
    this.handlers.add(handler);
  }

  /**
   * Delivers an item to the local handlers and queues it for sending, in place
   * of a queued item with the same key. Ignores an item that was seen before or
   * is older than one with the same key. Returns whether the item was new.
   */
  publish(key: string, item: BroadcastItem): boolean {
    const text = JSON.stringify(item);
    if (!this.recordIfNew(key, text, item)) return false;
    this.queue.set(key, {item, bytes: Buffer.byteLength(text), sent: 0});
    for (const handler of this.handlers) handler(item);
    return true;
  }

  /**
   * Takes the items for one ping, least often sent first. Removes those from
   * the queue that have now been sent often enough.
   */
  takeItems(): BroadcastItem[] {
    const members = this.countMembers();
    const entries = [...this.queue.entries()].sort(
      ([, a], [, b]) => a.sent - b.sent,
    );
    const items: BroadcastItem[] = [];
    let bytes = 0;
    for (const [key, entry] of entries) {
      const fits = bytes + entry.bytes <= maxItemBytesPerPing;
      // An item above the limit is sent as the only one of its ping.
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

  /** Remembers an item; returns false when it is a duplicate or outdated. */
  private recordIfNew(key: string, text: string, item: BroadcastItem): boolean {
    const order = computeItemOrder(item);
    if (order !== undefined) {
      if (order <= (this.latestOrders.get(key) ?? -Infinity)) return false;
      // Deleting first moves the key to the end, so that it is evicted last.
      this.latestOrders.delete(key);
      this.latestOrders.set(key, order);
      evictOldest(this.latestOrders);
      return true;
    }
    const identity = `${key}\0${text}`;
    if (this.seen.has(identity)) return false;
    this.seen.add(identity);
    evictOldest(this.seen);
    return true;
  }
}

function evictOldest(collection: Set<string> | Map<string, number>): void {
  if (collection.size <= maxSeenItems) return;
  const oldest = collection.keys().next();
  if (!oldest.done) collection.delete(oldest.value);
}
