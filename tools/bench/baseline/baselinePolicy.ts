/** Choices of the baseline routers. */

/** Name of a baseline; also the value of its `--policy` flag. */
export enum BaselinePolicy {
  RoundRobin = 'roundRobin',
  LeastLoad = 'leastLoad',
}

/** What a baseline instance knows of an engine. */
export interface EngineView {
  url: string;
  slots: number;
  /** Requests of this instance at the engine. */
  inFlight: number;
  /** Requests, running and waiting, of the last load report. */
  reported: number;
  /** Own requests sent after the report was taken; the report lacks them. */
  sentSinceReport: number;
}

/**
 * Picks an engine.
 *
 * @param turn - number of requests that the instance has taken so far
 * @param draw - random number from 0 to below 1 that decides ties
 */
export function pickEngine(
  policy: BaselinePolicy,
  engines: readonly EngineView[],
  turn: number,
  draw: number,
): EngineView {
  switch (policy) {
    case BaselinePolicy.RoundRobin:
      return engines[turn % engines.length];
    case BaselinePolicy.LeastLoad: {
      const loads = engines.map(
        engine => engine.reported + engine.sentSinceReport,
      );
      const least = Math.min(...loads);
      const best = engines.filter((_, index) => loads[index] === least);
      return best[Math.floor(draw * best.length)];
    }
  }
}
