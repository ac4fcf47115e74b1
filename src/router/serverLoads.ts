/** Tracks this router's requests in flight at each backend server. */
import {addWork} from './prefillBacklog.js';
import {emptyRequestLoad, type RequestLoad} from './serverLoad.js';

/** Handle of one request that counts towards the load of its server. */
export interface LoadTicket {
  /** Removes the prompt from the prefill backlog. */
  finishPrefill(): void;
  /** Removes the request from the load; further calls have no effect. */
  release(): void;
}

/** What one request adds to the load of its server. */
export interface LoadContribution {
  /** Work of prefilling the prompt; see `computePrefillWork`. */
  readonly prefillWork: number;
  /** Urgency rank at the engine. */
  readonly rank: number;
  /** Sensitivity of the request's stream to pauses, from 0 to 1. */
  readonly pauseWeight: number;
}

type MutableRequestLoad = {
  -readonly [field in keyof RequestLoad]: RequestLoad[field];
};

/** @param addedWork - work that the change adds to the backlog */
export type LoadListener = (addedWork: number) => void;

/** Counts requests and prefill work by backend server. */
export class ServerLoadTracker {
  private readonly loads = new Map<string, MutableRequestLoad>();
  private readonly listeners: LoadListener[] = [];

  /** Registers a listener that is called after each change. */
  watch(listener: LoadListener): void {
    this.listeners.push(listener);
  }

  /** Counts a request until its ticket is released. */
  add(
    serverId: string,
    {prefillWork, rank, pauseWeight}: LoadContribution,
  ): LoadTicket {
    const load = this.loads.get(serverId) ?? {...emptyRequestLoad};
    this.loads.set(serverId, load);
    load.requests += 1;
    load.backlog = addWork(load.backlog, rank, prefillWork);
    load.tightStreams += pauseWeight;
    this.notifyListeners(prefillWork);
    let isPrefilling = true;
    let isReleased = false;
    const finishPrefill = () => {
      if (!isPrefilling) return;
      isPrefilling = false;
      load.backlog = addWork(load.backlog, rank, -prefillWork);
      if (prefillWork > 0) this.notifyListeners();
    };
    const release = () => {
      if (isReleased) return;
      isReleased = true;
      load.requests -= 1;
      load.tightStreams -= pauseWeight;
      finishPrefill();
      if (load.requests === 0) this.loads.delete(serverId);
      this.notifyListeners();
    };
    return {finishPrefill, release};
  }

  get(serverId: string): RequestLoad {
    return this.loads.get(serverId) ?? emptyRequestLoad;
  }

  private notifyListeners(addedWork = 0): void {
    for (const listener of this.listeners) listener(addedWork);
  }
}
