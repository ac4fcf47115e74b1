/** Placements of prompt parts that the other routers haven't been told of. */

/** A prompt part and the engine that was selected for it, by compact key. */
export type PlacementRow = [part: number, server: number];

/**
 * Placements in one report, of up to 10 bytes each: a report that is longer than a
 * datagram can't be sent at all.
 */
const maxReported = 1_000;
/** Above this, the oldest are dropped, as the other routers would drop them. */
const maxWaiting = 20_000;

/**
 * Spreads the parts of long prompts over several reports.
 *
 * @example
 * queue.add([part, server]);
 * report.placements = queue.take();
 */
export class PlacementQueue {
  private waiting: PlacementRow[] = [];

  add(row: PlacementRow): void {
    this.waiting.push(row);
    if (this.waiting.length > 2 * maxWaiting) {
      this.waiting = this.waiting.slice(-maxWaiting);
    }
  }

  /** Returns the rows of the next report, the oldest first. */
  take(): PlacementRow[] {
    return this.waiting.splice(0, maxReported);
  }
}
