/** Measures of a part of a run. */
import {
  ClassKind,
  type Configuration,
  type RequestClass,
} from '../../../src/config/configuration.js';
import {isLargeCustomer} from '../buildStreams.js';
import type {MeasuredWindow, WindowName} from '../experiment.js';
import {
  RequestEnd,
  RequestRoute,
  type RequestRecord,
} from '../load/requestRecord.js';
import {computeLatencySummary, type LatencySummary} from './latencySummary.js';

/** How many requests attained their class's targets. */
export interface Attainment {
  /** Requests whose result is known. */
  requests: number;
  /** Long answers that were within their targets when the run ended. */
  cutOff: number;
  attained: number;
  /** 0 to 1; undefined without requests. */
  share?: number;
}

/** Latencies of the requests that got any answer. */
export interface Latencies {
  firstToken?: LatencySummary;
  betweenTokens?: LatencySummary;
  /** Whole answers only. */
  total?: LatencySummary;
}

export interface WindowMeasures {
  window: WindowName;
  seconds: number;
  classes: Record<
    string,
    Attainment & {short: Latencies; long: Latencies; all: Latencies}
  >;
  /** Requests of tier 0, model and service classes together. */
  highestTier: Attainment;
  model: Attainment;
  /** Model requests of the customers that are not large. */
  smallCustomers: Attainment;
  /** Short model requests. */
  short: Latencies;
  long: Latencies;
  /** Attained model answers that ended within the window. */
  goodput: {answersPerSecond: number; tokensPerSecond: number};
  serviceGoodputPerSecond: number;
  ends: Record<string, number>;
  /** Counts by `reason outcome`. */
  refusals: Record<string, number>;
}

/** Computes the measures of one window from the records of a run. */
export function computeWindowMeasures(
  window: MeasuredWindow,
  allRecords: readonly RequestRecord[],
  configuration: Configuration,
): WindowMeasures {
  const {classes} = configuration;
  const load = allRecords.filter(({route}) => route === RequestRoute.Load);
  const records = load.filter(({dueMs}) => isWithin(window, dueMs));
  const measure = (selected: RequestRecord[]) =>
    computeAttainment(selected, classes);
  const model = records.filter(({kind}) => kind === ClassKind.Model);
  const seconds = (window.toMs - window.fromMs) / 1_000;
  const finished = load.filter(
    record =>
      isWithin(window, record.dueMs + record.totalMs) &&
      isAttained(record, classes[record.className]),
  );
  const finishedModel = finished.filter(({kind}) => kind === ClassKind.Model);
  const tokens = finishedModel.reduce((sum, record) => sum + record.tokens, 0);
  return {
    window: window.name,
    seconds,
    classes: Object.fromEntries(
      Object.keys(classes).map(name => {
        const own = records.filter(({className}) => className === name);
        return [name, {...measure(own), ...splitLatencies(own)}];
      }),
    ),
    highestTier: measure(
      records.filter(({className}) => classes[className].tier === 0),
    ),
    model: measure(model),
    smallCustomers: measure(
      model.filter(
        ({customerId}) => !isLargeCustomer(customerId, configuration),
      ),
    ),
    short: splitLatencies(model).short,
    long: splitLatencies(model).long,
    goodput: {
      answersPerSecond: finishedModel.length / seconds,
      tokensPerSecond: tokens / seconds,
    },
    serviceGoodputPerSecond: (finished.length - finishedModel.length) / seconds,
    ends: countBy(records.map(({end}) => end)),
    refusals: countBy(records.flatMap(describeRefusal)),
  };
}

/**
 * Whether a request got its whole answer within its class's targets: first
 * token and mean time between tokens, or the answer of a plain service.
 */
export function isAttained(
  record: RequestRecord,
  requestClass: RequestClass,
): boolean {
  return record.end === RequestEnd.Complete && isInTime(record, requestClass);
}

/**
 * Whether the end of the run cut off an answer that was within its targets
 * until then. Its result is unknown, so that it counts neither way.
 */
export function isCutOff(
  record: RequestRecord,
  requestClass: RequestClass,
): boolean {
  return record.end === RequestEnd.Unfinished && isInTime(record, requestClass);
}

function isInTime(
  {firstTokenMs: takenMs, gapsMs}: RequestRecord,
  {firstTokenMs, betweenTokensMs}: RequestClass,
): boolean {
  if (takenMs === undefined || takenMs > firstTokenMs) return false;
  if (gapsMs.length === 0 || betweenTokensMs === undefined) return true;
  const meanMs = gapsMs.reduce((sum, gap) => sum + gap, 0) / gapsMs.length;
  return meanMs <= betweenTokensMs;
}

/** Counts equal texts. */
export function countBy(texts: readonly string[]): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const text of texts) counts[text] = (counts[text] ?? 0) + 1;
  return counts;
}

/** Computes latencies of any records. */
export function computeLatencies(records: readonly RequestRecord[]): Latencies {
  return {
    firstToken: computeLatencySummary(
      records.flatMap(({firstTokenMs}) => firstTokenMs ?? []),
    ),
    betweenTokens: computeLatencySummary(records.flatMap(({gapsMs}) => gapsMs)),
    total: computeLatencySummary(
      records
        .filter(({end}) => end === RequestEnd.Complete)
        .map(({totalMs}) => totalMs),
    ),
  };
}

function computeAttainment(
  records: readonly RequestRecord[],
  classes: Configuration['classes'],
): Attainment {
  const countIf = (judge: typeof isAttained) =>
    records.filter(record => judge(record, classes[record.className])).length;
  const attained = countIf(isAttained);
  const cutOff = countIf(isCutOff);
  const requests = records.length - cutOff;
  return {
    requests,
    cutOff,
    attained,
    ...(requests > 0 ? {share: attained / requests} : {}),
  };
}

function splitLatencies(records: readonly RequestRecord[]) {
  return {
    short: computeLatencies(records.filter(({isLong}) => !isLong)),
    long: computeLatencies(records.filter(({isLong}) => isLong)),
    all: computeLatencies(records),
  };
}

function describeRefusal({end, reason, outcome}: RequestRecord): string[] {
  switch (end) {
    case RequestEnd.Refused:
    case RequestEnd.Broken:
      return [`${reason ?? 'streamEnded'} ${outcome ?? 'unknown'}`];
    case RequestEnd.Complete:
    case RequestEnd.WrongAnswer:
    case RequestEnd.GaveUp:
    case RequestEnd.Unfinished:
      return [];
  }
}

function isWithin({fromMs, toMs}: MeasuredWindow, atMs: number): boolean {
  return atMs >= fromMs && atMs < toMs;
}
