/** Counters of the model engine stand-in, for tests and benchmarks. */

/**
 * Answer to `GET /control`. With `?brief=true` the counts by id and by
 * fingerprint are omitted, as these grow with every request.
 */
export interface EngineCounters {
  /** Chat requests received, by `x-request-id`. */
  requestsSeen: Record<string, number>;
  /** Chat requests whose generation started, by fingerprint. */
  runsByFingerprint: Record<string, number>;
  tokensGenerated: number;
  /** Tokens generated for requests that were then cancelled. */
  tokensWasted: number;
  /** Tokens generated for requests that were in flight at a crash. */
  tokensInCrashes: number;
  crashes: number;
  /** Chat requests in the engine, running and waiting. */
  inFlight: number;
  ordersAccepted: number;
  /** Orders refused because of an old fencing number or a wrong key. */
  ordersRefused: number;
  /** Orders executed in spite of an old fencing number. */
  oldOrdersAccepted: number;
}

/** Returns counters that are all zero. */
export function buildEngineCounters(): EngineCounters {
  return {
    requestsSeen: {},
    runsByFingerprint: {},
    tokensGenerated: 0,
    tokensWasted: 0,
    tokensInCrashes: 0,
    crashes: 0,
    inFlight: 0,
    ordersAccepted: 0,
    ordersRefused: 0,
    oldOrdersAccepted: 0,
  };
}

/** Increments the count of a key. */
export function incrementCount(
  counts: Record<string, number>,
  key: string,
): void {
  counts[key] = (counts[key] ?? 0) + 1;
}
