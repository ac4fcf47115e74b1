/** VM lists of the platform stand-in, served with a simulated lag. */
import type {VmList} from '../protocol/platformApi.js';

/** Number of past lists kept to simulate the lag. */
const maxKeptLists = 1_000;

/** Records the VM lists with the time of each. */
export class VmListHistory {
  private readonly lists: {vms: VmList; atMs: number}[] = [];

  constructor(vms: VmList) {
    this.lists.push({vms, atMs: -Infinity});
  }

  /** Adds a new list. */
  add(vms: VmList): void {
    this.lists.push({vms, atMs: Date.now()});
    if (this.lists.length > maxKeptLists) this.lists.shift();
  }

  /** Returns the list as it was `lagMs` ago without the `missing` VMs. */
  get(lagMs: number, missing: readonly string[]): VmList {
    const visibleAtMs = Date.now() - lagMs;
    const visibleList = this.lists.findLast(({atMs}) => atMs <= visibleAtMs);
    const {entryVms, backendServerVms} = (visibleList ?? this.lists[0]).vms;
    return {
      entryVms: entryVms.filter(({vm}) => !missing.includes(vm)),
      backendServerVms: backendServerVms.filter(
        ({backendServer}) => !missing.includes(backendServer),
      ),
    };
  }
}
