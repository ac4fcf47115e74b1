/** Processes of backend servers that said in an answer that they leave. */
import {computeKey} from './compactKey.js';
import {formatProcess, type BackendServer} from './deployment.js';
import type {ServerDirectory} from './serverDirectory.js';

/**
 * Each report repeats a process for this long, because reports may be lost, in
 * milliseconds.
 */
const tellForMs = 1_500;

/**
 * Takes leaving processes out of use at once, and tells the other routers: the
 * platform may publish it seconds later, or not at all.
 *
 * @example
 * if (answer.isLeaving) leaving.record(server);
 */
export class LeavingServers {
  /** Keys of processes to tell others of, with the end of that. */
  private readonly toldUntilMs = new Map<number, number>();

  /** @param announce - sends the next report at once */
  constructor(
    private readonly directory: ServerDirectory,
    private readonly announce: () => void,
  ) {}

  /** Takes what an answer said; true when it is news. */
  record(server: BackendServer): boolean {
    const key = computeKey(formatProcess(server));
    if (!this.directory.removeProcess(key)) return false;
    this.announceKey(key);
    this.announce();
    return true;
  }

  /**
   * Takes keys from a report.
   *
   * @param passesOn - true at a relay, for the reports of its members
   */
  recordPeer(keys: readonly number[], passesOn: boolean): void {
    for (const key of keys) {
      const isNew = this.directory.removeProcess(key);
      if (isNew && passesOn) this.announceKey(key);
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

  private announceKey(key: number): void {
    this.toldUntilMs.set(key, performance.now() + tellForMs);
  }
}
