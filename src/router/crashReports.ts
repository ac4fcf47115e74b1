/** Evidence of crashes as routers report it to each other. */

/** A crash as routers report it to each other. */
export interface CrashReport {
  /** Random; the same in each repetition of the report. */
  readonly id: number;
  readonly ageMs: number;
  /** Compact key of the server. */
  readonly server: number;
  /**
   * Keys of the prompt's shared parts, first to last, and of the request. Parts
   * on which the answer had started are left out.
   */
  readonly suspects: readonly number[];
}

/** A request that was sent although it, or a part of it, had been blocked. */
export interface ProbeReport {
  /** Random; the same in each repetition of the report. */
  readonly id: number;
  readonly ageMs: number;
  readonly suspect: number;
}

/** Evidence of one router for the others. */
export interface CrashEvidence {
  readonly crashes: readonly CrashReport[];
  /** Accused requests that were answered, and parts on which an answer started. */
  readonly acquitted: readonly number[];
  readonly probes: readonly ProbeReport[];
  /**
   * Time for which the fleet has remembered crashes, as far as the sender knows, in
   * milliseconds, up to `wholeMemoryMs`.
   */
  readonly memoryAgeMs: number;
}

export const noCrashEvidence: CrashEvidence = {
  crashes: [],
  acquitted: [],
  probes: [],
  memoryAgeMs: 0,
};
