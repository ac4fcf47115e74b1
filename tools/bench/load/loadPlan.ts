/** Messages between the load driver and its worker threads. */
import type {ArrivalStream} from './arrivals.js';
import type {RequestRecord} from './requestRecord.js';

/** Sends the same small request through the router and to its engine. */
export interface ProbePlan {
  model: string;
  className: string;
  /** Base URL of the engine that alone serves the model. */
  engineUrl: string;
  tokens: number;
  /** Probes per second on each of the two ways. */
  ratePerSecond: number;
}

/** One run of the load. */
export interface LoadPlan {
  /** Part of the operation keys, so that they differ between runs. */
  name: string;
  seed: number;
  streams: ArrivalStream[];
  durationMs: number;
  /** Time after the last arrival until open requests are aborted. */
  drainMs: number;
  /** Deadlines by class in milliseconds. */
  deadlines: Record<string, number>;
  /** Base URLs of entry VMs. */
  entryUrls: string[];
  zones: string[];
  model: string;
  service: string;
  /** Classes whose requests carry an operation key. */
  nonRepeatable: string[];
  /** Share of non-repeatable orders that are sent twice. */
  duplicateShare: number;
  probe?: ProbePlan;
}

/** What a worker thread is told. */
export interface WorkerTask {
  plan: LoadPlan;
  workerIndex: number;
  workerCount: number;
  /** Unix time of the start in milliseconds. */
  startAtMs: number;
}

/** What a worker thread answers. */
export type WorkerAnswer =
  {kind: 'ready'} | {kind: 'records'; records: RequestRecord[]};
