/** The platform's read side in memory, with faults. */
import {errAsync, okAsync, ResultAsync} from 'neverthrow';
import {waitFor} from '../../src/node/delay.js';
import type {PlatformClient} from '../../src/node/platformClient.js';
import {PlatformBusyError, PlatformError} from '../../src/protocol/errors.js';
import {VmState, type VmList} from '../../src/protocol/platformApi.js';
import {ConfigHistory} from './configurations.js';

export enum PlatformFault {
  Down = 'down',
  /** Calls get no answer until their deadline. */
  Silent = 'silent',
  /** Calls get status 429. */
  Busy = 'busy',
}

const watchPollMs = 10;
/** Deadlines of the real client. */
const readDeadlineMs = 1_000;
const watchSlackMs = 500;

/** One service; each VM reads it through a client of its own. */
export class SimulatedPlatform {
  readonly history = new ConfigHistory();
  readonly vms = new Map<string, VmState>();
  /** Faults as one VM sees them. */
  readonly faults = new Map<string, PlatformFault>();
  vmListDown = false;
  /** Reads show this number at most. */
  staleAt = Infinity;
  configCalls = 0;

  /** Builds the client of the VM with an address. */
  createClient(vmAddress: string): PlatformClient {
    const read = <T>(answer: () => T, deadlineMs = readDeadlineMs) =>
      this.read(vmAddress, answer, deadlineMs);
    const client = {
      readVmList: () =>
        this.vmListDown
          ? errAsync(new PlatformError('VM list is down'))
          : okAsync(this.buildVmList()),
      readDocument: () => read(() => this.history.getDocument(this.number)),
      readHead: () => read(() => this.history.getDocument(this.number).head),
      readChanges: (after: number) =>
        read(() => ({
          head: this.history.getDocument(this.number).head,
          changes: this.history
            .listChangesAfter(after)
            .filter(change => change.number <= this.number),
        })),
      watchHead: (after: number, waitMs: number, signal: AbortSignal) =>
        ResultAsync.fromSafePromise(
          this.waitAbove(vmAddress, after, waitMs, signal),
        ).andThen(() =>
          read(() => this.history.getDocument(this.number).head, watchSlackMs),
        ),
      describeCalls: () => ({}),
    };
    return client as unknown as PlatformClient;
  }

  private get number(): number {
    return Math.min(this.history.number, this.staleAt);
  }

  private read<T>(
    vmAddress: string,
    answer: () => T,
    deadlineMs: number,
  ): ResultAsync<T, PlatformError> {
    this.configCalls += 1;
    switch (this.faults.get(vmAddress)) {
      case PlatformFault.Down:
        return errAsync(new PlatformError('connection refused'));
      case PlatformFault.Busy:
        return errAsync(new PlatformBusyError('status 429', 1_000));
      case PlatformFault.Silent:
        return ResultAsync.fromSafePromise(
          waitFor(deadlineMs, new AbortController().signal),
        ).andThen(() => errAsync(new PlatformError('no answer')));
      case undefined:
        return okAsync(answer());
    }
  }

  /** Ends early when the service fails; a silent one ends at the deadline. */
  private async waitAbove(
    vmAddress: string,
    after: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<void> {
    const endMs = performance.now() + waitMs;
    while (performance.now() < endMs && !signal.aborted) {
      const fault = this.faults.get(vmAddress);
      if (fault && fault !== PlatformFault.Silent) return;
      // A stale service answers at once.
      if (!fault && this.number !== after) return;
      await waitFor(watchPollMs, signal);
    }
  }

  private buildVmList(): VmList {
    const entryVms = [...this.vms].map(([address, state]) => ({
      vm: `vm-${address}`,
      address,
      zone: 'za',
      state,
    }));
    return {entryVms, backendServerVms: []};
  }
}
