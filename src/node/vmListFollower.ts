/** Polls the platform's list of VMs. */
import type {VmList} from '../protocol/platformApi.js';
import {waitFor} from './delay.js';
import type {Membership} from './membership.js';
import type {PlatformClient} from './platformClient.js';

const readIntervalMs = 1_000;

export type VmListListener = (list: VmList) => void;

/** Keeps the membership up to date with the VM list. */
export class VmListFollower {
  private readonly listeners = new Set<VmListListener>();

  constructor(
    private readonly platform: PlatformClient,
    private readonly membership: Membership,
  ) {}

  /** Calls the listener after each successful read. */
  subscribe(listener: VmListListener): void {
    this.listeners.add(listener);
  }

  /** Reads the list about once per second until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await waitFor(readIntervalMs * (0.75 + Math.random() / 2), signal);
      if (!signal.aborted) await this.readOnce(signal);
    }
  }

  /** Reads the list once; a failed read leaves the previous list in place. */
  async readOnce(signal: AbortSignal): Promise<void> {
    const list = await this.platform.readVmList(signal);
    if (list.isErr()) return;
    this.membership.applyVmList(list.value);
    for (const listener of this.listeners) listener(list.value);
  }
}
