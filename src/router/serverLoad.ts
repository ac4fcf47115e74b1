/** Load and recent outcomes of one backend server. */
import {emptyBacklog, type PrefillBacklog} from './prefillBacklog.js';

/**
 * Denominator of pause weights. They are multiples of 1/16, so that sums have
 * no rounding errors and can be sent as integers.
 */
export const pauseWeightDenominator = 16;

/** Requests in flight at a server. */
export interface RequestLoad {
  readonly requests: number;
  /** Work of these requests' prompts that wait for prefill. */
  readonly backlog: PrefillBacklog;
  /** Sum of the pause weights of these requests' streams. */
  readonly tightStreams: number;
}

/** Outcomes of requests at a server, decayed by age. */
export interface RecentOutcomes {
  readonly failures: number;
  readonly answers: number;
  /** Processing time as a multiple of the normal one; 0 when unknown. */
  readonly slowness: number;
}

/** Load and outcomes of a server as seen by one or several routers. */
export interface ServerLoad extends RequestLoad, RecentOutcomes {}

export const emptyRequestLoad: RequestLoad = {
  requests: 0,
  backlog: emptyBacklog,
  tightStreams: 0,
};
