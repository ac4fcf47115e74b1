/** What is known of the work at one backend server. */

/** A stream counts in such parts of one, so that sums are exact. */
export const streamParts = 16;

/** Requests at a server. */
export interface RequestLoad {
  readonly requests: number;
  /** Prompt tokens of these that an engine has still to read. */
  readonly promptTokens: number;
  /** Streams, each weighed by how little it may pause, in whole parts. */
  readonly tightStreams: number;
}

/** Outcomes at a server; the older, the less they weigh. */
export interface RecentOutcomes {
  readonly failures: number;
  readonly answers: number;
  /** Time that work takes, as a multiple of the usual; 0 when not known. */
  readonly slowness: number;
}

/** Both, of one router or of several. */
export interface ServerLoad extends RequestLoad, RecentOutcomes {}

export const noRequestLoad: RequestLoad = {
  requests: 0,
  promptTokens: 0,
  tightStreams: 0,
};
