/** Spacing of reports by the bandwidth of the own link. */

/**
 * Part of the link that reports may take. The rest is left to the requests, and
 * reports that wait in the link arrive too late.
 */
const maxLinkRatio = 0.5;
/**
 * Longest time by which a report is put off, in milliseconds. Members take a
 * longer silence for a failure.
 */
const maxWaitMs = 250;
const bitsPerByte = 8;

/**
 * Tells when the reports so far have taken no more than their part of the link.
 *
 * @example
 * pacer.recordSend(1_250);
 * pacer.measureWaitMs() === 2 // at 10 Mbit/s
 */
export class LinkPacer {
  private freeAtMs = -Infinity;
  private readonly bitsPerMs: number;

  /** @param linkMbps - bandwidth of the VM's link */
  constructor(linkMbps: number) {
    this.bitsPerMs = linkMbps * 1_000 * maxLinkRatio;
  }

  recordSend(bytes: number): void {
    const nowMs = performance.now();
    const startMs = Math.max(nowMs, this.freeAtMs);
    const freeAtMs = startMs + (bytes * bitsPerByte) / this.bitsPerMs;
    this.freeAtMs = Math.min(nowMs + maxWaitMs, freeAtMs);
  }

  /** Time until the next report may be sent; negative if it already may. */
  measureWaitMs(): number {
    return this.freeAtMs - performance.now();
  }
}
