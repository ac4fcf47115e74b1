/** One baseline instance's view of an engine, with a FIFO queue of its own. */
import {request} from 'undici';
import {loadReportSchema} from '../../../src/protocol/engineApi.js';
import type {EngineView} from './baselinePolicy.js';

/** Hands out places at an engine in the order of asking. */
export class EngineLink implements EngineView {
  inFlight = 0;
  reported = 0;
  private sentAtMs: number[] = [];
  private readonly queue: (() => void)[] = [];

  constructor(
    readonly url: string,
    readonly slots: number,
  ) {}

  get sentSinceReport(): number {
    return this.sentAtMs.length;
  }

  /**
   * Waits for a place. One instance sends at most as many requests as the
   * engine has slots; the engine itself serves equal priorities in the order
   * of arrival, so that the order over all instances is FIFO, too.
   */
  async acquire(): Promise<void> {
    this.sentAtMs.push(Date.now());
    this.inFlight += 1;
    if (this.inFlight <= this.slots) return;
    await new Promise<void>(resolve => this.queue.push(resolve));
  }

  /** Gives the place to the next request. */
  release(): void {
    this.inFlight -= 1;
    this.queue.shift()?.();
  }

  /** Reads the engine's load report. */
  async refresh(): Promise<void> {
    const response = await request(`${this.url}/load`);
    const report = loadReportSchema.parse(await response.body.json());
    this.reported = report.running + report.waiting;
    this.sentAtMs = this.sentAtMs.filter(atMs => atMs > report.takenAtMs);
  }
}
