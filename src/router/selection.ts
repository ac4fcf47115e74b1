/** Requests that look for a backend server, and what is selected for them. */
import type {BackendServer} from './deployment.js';
import type {PromptPart} from './messageCodec.js';

/** Properties of a request that affect the choice of its server. */
export interface SelectionRequest {
  readonly service: string;
  /** Servers that failed this request; retried only when no other is left. */
  readonly failed: ReadonlySet<string>;
  /** Servers that rejected it or were unreachable; never selected again. */
  readonly excluded: ReadonlySet<string>;
  readonly promptParts: readonly PromptPart[];
  readonly promptTokens: number;
  readonly bodyBytes: number;
  /**
   * Longest pause between events that counts as on time, in milliseconds;
   * undefined when the answer is not a stream.
   */
  readonly maxPauseMs: number | undefined;
  /** Urgency rank at an engine, from 0, the most urgent, to 9. */
  readonly rank: number;
  /** Target of the time to the answer or the first event, in milliseconds. */
  readonly targetMs: number;
  /** Time since the request arrived, in milliseconds. */
  readonly waitedMs: number;
  /** Cost of a failure, expressed as milliseconds of waiting. */
  readonly failureCostMs: number;
}

/** The selected backend server, and the estimates behind the choice. */
export interface Selection {
  readonly server: BackendServer;
  /** Prompt tokens that the engine has to prefill; 0 for plain services. */
  readonly unreadTokens: number;
  /** Work of prefilling them; see `computePrefillWork`. */
  readonly prefillWork: number;
  /** True when prefilling the prompt does not delay concurrent streams. */
  readonly isShortPrompt: boolean;
  /** Lasting speed of the server as a multiple of the mean of its service. */
  readonly speed: number;
  /** Time to prefill the prompt alone, in milliseconds. */
  readonly promptPrefillMs: number;
  /** `host:port` of the engine to copy KV cache from. */
  readonly fetchFrom?: string;
  /** Expected time to the answer or to the first event, in milliseconds. */
  readonly expectedMs: number;
  /** Part of `expectedMs` spent on the engine's prefill backlog. */
  readonly backlogMs: number;
  /** Work of the engine's prefill backlog. */
  readonly backlogWork: number;
  /** Expected time until the engine has a free slot, in milliseconds. */
  readonly slotWaitMs: number;
  /** Requests in flight at the server, from all routers, at selection. */
  readonly serverRequests: number;
  /** Sum of the pause weights of the server's streams. */
  readonly tightStreams: number;
  /** Pause weight of this request's stream, from 0 to 1. */
  readonly pauseWeight: number;
}

/** Tells which availability zones get no requests. */
export interface ZoneEvacuations {
  isEvacuated(zone: string): boolean;
}
