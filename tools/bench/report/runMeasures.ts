/** Measures of a whole run of one experiment on one system. */
import type {Configuration} from '../../../src/config/configuration.js';
import {Outcome} from '../../../src/protocol/outcome.js';
import type {Experiment, ExperimentName} from '../experiment.js';
import {
  RequestEnd,
  RequestRoute,
  type RequestRecord,
} from '../load/requestRecord.js';
import {computeLatencySummary, type LatencySummary} from './latencySummary.js';
import {
  computeLatencies,
  computeWindowMeasures,
  countBy,
  type Latencies,
  type WindowMeasures,
} from './windowMeasures.js';

/** A driver that sends later than this at p99 measures itself. */
const maxLatenessP99Ms = 5;

/** What is compared. */
export enum SystemName {
  Router = 'router',
  RoundRobin = 'roundRobin',
  LeastLoad = 'leastLoad',
}

export interface OperationMeasures {
  /** Operation keys that ran at a plain service. */
  keys: number;
  /** Most runs of one key; the target is 1. */
  maxRuns: number;
  /** Second copies that were sent. */
  duplicates: number;
  /** Orders answered "not run" that did run; the target is 0. */
  falseNotRun: number;
  /** How each copy of these orders ended. */
  falseNotRunCopies: Record<string, string[]>;
}

/** The router's own time: through the router less directly. */
export interface AddedTime {
  router: Latencies;
  direct: Latencies;
  firstTokenP50Ms: number;
  firstTokenP99Ms: number;
  totalP50Ms: number;
  totalP99Ms: number;
}

export interface RunMeasures {
  experiment: ExperimentName;
  system: SystemName;
  /** False when the driver was late; the figures don't count then. */
  isValid: boolean;
  lateness?: LatencySummary;
  requests: number;
  windows: WindowMeasures[];
  tokensGenerated: number;
  /** Share of generated tokens that reached no caller, 0 to 1. */
  wastedShare: number;
  /** Ends of second copies of orders. */
  duplicateEnds: Record<string, number>;
  operations?: OperationMeasures;
  addedTime?: AddedTime;
  /** Parts of the daemons' dumps about queue waits, where there are any. */
  queueWaits: unknown[];
}

export interface RunFacts {
  experiment: Experiment;
  system: SystemName;
  records: RequestRecord[];
  tokensGenerated: number;
  /** Runs at the plain services by operation key, of this run's keys only. */
  operationRuns: Map<string, number>;
  queueWaits: unknown[];
}

/** Computes all measures of a run. */
export function computeRunMeasures(
  facts: RunFacts,
  configuration: Configuration,
): RunMeasures {
  const {experiment, system, records, tokensGenerated} = facts;
  const lateness = computeLatencySummary(
    records.map(({latenessMs}) => latenessMs),
  );
  const delivered = records.reduce((sum, {tokens}) => sum + tokens, 0);
  const addedTime = computeAddedTime(records);
  return {
    experiment: experiment.name,
    system,
    isValid: (lateness?.p99 ?? Infinity) <= maxLatenessP99Ms,
    lateness,
    requests: records.length,
    windows: experiment.windows.map(window =>
      computeWindowMeasures(window, records, configuration),
    ),
    tokensGenerated,
    wastedShare:
      tokensGenerated > 0 ? 1 - Math.min(1, delivered / tokensGenerated) : 0,
    duplicateEnds: countBy(
      records
        .filter(({route}) => route === RequestRoute.Duplicate)
        .map(describeRecordEnd),
    ),
    ...(system === SystemName.Router
      ? {operations: computeOperations(records, facts.operationRuns)}
      : {}),
    ...(addedTime ? {addedTime} : {}),
    queueWaits: facts.queueWaits,
  };
}

/** Checks counts at the stand-ins against the answers to the callers. */
export function computeOperations(
  records: readonly RequestRecord[],
  runs: ReadonlyMap<string, number>,
): OperationMeasures {
  // The suffix of an operation key is the id of the request.
  const ranIds = new Set([...runs.keys()].map(key => key.split('.').at(-1)));
  const answeredIds = new Set(
    records
      .filter(({end}) => end === RequestEnd.Complete)
      .map(({operationId}) => operationId),
  );
  const falseIds = new Set(
    records.flatMap(({operationId, outcome}) =>
      operationId !== undefined &&
      outcome === Outcome.NotRun &&
      ranIds.has(operationId) &&
      !answeredIds.has(operationId)
        ? operationId
        : [],
    ),
  );
  const falseNotRunCopies = Object.fromEntries(
    [...falseIds].map(id => [
      id,
      records
        .filter(({operationId}) => operationId === id)
        .map(describeRecordEnd),
    ]),
  );
  return {
    keys: runs.size,
    maxRuns: Math.max(0, ...runs.values()),
    duplicates: records.filter(({route}) => route === RequestRoute.Duplicate)
      .length,
    falseNotRun: falseIds.size,
    falseNotRunCopies,
  };
}

function describeRecordEnd({end, reason, outcome}: RequestRecord): string {
  return [end, reason, outcome].filter(Boolean).join(' ');
}

function computeAddedTime(
  records: readonly RequestRecord[],
): AddedTime | undefined {
  const select = (wanted: RequestRoute) =>
    computeLatencies(
      records.filter(
        ({route, end}) => route === wanted && end === RequestEnd.Complete,
      ),
    );
  const router = select(RequestRoute.ProbeRouter);
  const direct = select(RequestRoute.ProbeDirect);
  if (!router.firstToken || !direct.firstToken) return undefined;
  if (!router.total || !direct.total) return undefined;
  return {
    router,
    direct,
    firstTokenP50Ms: router.firstToken.p50 - direct.firstToken.p50,
    firstTokenP99Ms: router.firstToken.p99 - direct.firstToken.p99,
    totalP50Ms: router.total.p50 - direct.total.p50,
    totalP99Ms: router.total.p99 - direct.total.p99,
  };
}
