/** Requests that this router has at each backend server. */
import {noRequestLoad, type RequestLoad} from './serverLoad.js';

/** A request from its sending to its end. */
export interface LoadTicket {
  /** The engine has read the prompt. */
  finishPrompt(): void;
  /** The request has ended; further calls change nothing. */
  release(): void;
}

/** A request as it counts at its server. */
export interface LoadShare {
  readonly promptTokens: number;
  /** Weight of its stream against pauses, from 0 to 1. */
  readonly pauseWeight: number;
}

/** Load of one backend server through this router. */
type OwnLoad = {-readonly [field in keyof RequestLoad]: RequestLoad[field]};

/** @param addedTokens - prompt tokens that an engine has to read more */
export type LoadListener = (addedTokens: number) => void;

/** Counts requests and unread prompt tokens by backend server. */
export class ServerLoads {
  private readonly loads = new Map<string, OwnLoad>();
  private readonly listeners: LoadListener[] = [];

  /** Calls a listener after each change. */
  watch(listener: LoadListener): void {
    this.listeners.push(listener);
  }

  /** Counts a request until its ticket is released. */
  add(serverId: string, {promptTokens, pauseWeight}: LoadShare): LoadTicket {
    const load = this.loads.get(serverId) ?? {...noRequestLoad};
    this.loads.set(serverId, load);
    load.requests += 1;
    load.promptTokens += promptTokens;
    load.tightStreams += pauseWeight;
    this.announce(promptTokens);
    let isReading = true;
    let isReleased = false;
    const finishPrompt = () => {
      if (!isReading) return;
      isReading = false;
      load.promptTokens -= promptTokens;
      if (promptTokens > 0) this.announce();
    };
    const release = () => {
      if (isReleased) return;
      isReleased = true;
      load.requests -= 1;
      load.tightStreams -= pauseWeight;
      finishPrompt();
      if (load.requests === 0) this.loads.delete(serverId);
      this.announce();
    };
    return {finishPrompt, release};
  }

  get(serverId: string): RequestLoad {
    return this.loads.get(serverId) ?? noRequestLoad;
  }

  private announce(addedTokens = 0): void {
    for (const listener of this.listeners) listener(addedTokens);
  }
}
