/**
 * Reports this gateway's load, which answers to address queries take into
 * account.
 */
import type {Membership} from '../node/membership.js';
import {waitFor} from '../node/delay.js';

const reportIntervalMs = 500;
/** Requests in progress that count as full load of a small VM. */
export const fullLoadRequests = 256;

/** Sets the load that this member's pings carry. */
export class LoadReporter {
  constructor(
    private readonly membership: Pick<Membership, 'setLoad'>,
    private readonly countInProgress: () => number,
  ) {}

  /** Reports at an interval until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const load = this.countInProgress() / fullLoadRequests;
      this.membership.setLoad(Math.min(1, load));
      await waitFor(reportIntervalMs, signal);
    }
  }
}
