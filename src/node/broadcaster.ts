/** Spreads small facts between members, carried on pings. */
import type {BroadcastItem} from '../protocol/memberMessages.js';

/** Most bytes of broadcast items on one ping. */
const maxItemBytesPerPing = 1_200;
/** Each item is sent this many times log2(members + 1). */
const retransmitFactor = 3;
/** Item keys remembered, so that a known item isn't spread again. */
const maxRememberedKeys = 20_000;

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
  private readonly handlers = new Set<ItemHandler>();

  constructor(private readonly countMembers: () => number) {}

  /** Calls the handler for each item that is new to this process. */
  subscribe(handler: ItemHandler): void {
    this.handlers.add(handler);
  }

  /**
   * Spreads an item under a key. An item under the same key that is still
   * queued is replaced; an identical one that was seen before is ignored.
   * Returns whether the item was new.
   */
  publish(key: string, item: BroadcastItem): boolean {
    const text = JSON.stringify(item);
    const identity = `${key}\0${text}`;
    if (this.seen.has(identity)) return false;
    this.remember(identity);
    this.queue.set(key, {item, bytes: Buffer.byteLength(text), sent: 0});
    for (const handler of this.handlers) handler(item);
    return true;
  }

  /** Takes the items for one ping, least sent first. */
  takeItems(): BroadcastItem[] {
    const limit = Math.ceil(
      retransmitFactor * Math.log2(this.countMembers() + 1),
    );
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
      if (entry.sent >= limit) this.queue.delete(key);
    }
    return items;
  }

  /** Number of items that are still being sent. */
  countQueued(): number {
    return this.queue.size;
  }

  private remember(identity: string): void {
    this.seen.add(identity);
    if (this.seen.size <= maxRememberedKeys) return;
    const [oldest] = this.seen;
    this.seen.delete(oldest);
  }
}
