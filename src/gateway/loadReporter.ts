/** Reports this gateway's load, which address answers take into account. */
import type {Membership} from '../node/membership.js';
import {waitFor} from '../node/delay.js';

const reportIntervalMs = 500;
/** Requests in progress that count as full load of a small VM. */
export const capacityRequests = 256;

/** Sets the load that pings carry. */
export class LoadReporter {
  constructor(
    private readonly membership: Pick<Membership, 'setLoad'>,
    private readonly countInProgress: () => number,
  ) {}

  /** Reports at an interval until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const load = this.countInProgress() / capacityRequests;
      this.membership.setLoad(Math.min(1, load));
      await waitFor(reportIntervalMs, signal);
    }
  }
}
