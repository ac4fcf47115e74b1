/** The experiments, as loads over time relative to the engines' capacity. */
import type {ProfilePoint} from './load/loadProfile.js';

export enum ExperimentName {
  /** Not measured: code in all processes is compiled while it runs. */
  WarmUp = 'warmUp',
  HalfLoad = 'halfLoad',
  Load85 = 'load85',
  Load100 = 'load100',
  Crest = 'crest',
  ShortOnly = 'shortOnly',
  ShortWithLong = 'shortWithLong',
  SlowedEngines = 'slowedEngines',
  LowestTierOverload = 'lowestTierOverload',
  HighestTierOverload = 'highestTierOverload',
  LargeCustomerBurst = 'largeCustomerBurst',
}

/** Names of the measured parts of an experiment. */
export enum WindowName {
  Whole = 'whole',
  Before = 'before',
  Crest = 'crest',
  After = 'after',
}

/** Part of a run in milliseconds from its start. */
export interface MeasuredWindow {
  name: WindowName;
  fromMs: number;
  toMs: number;
}

export interface Experiment {
  name: ExperimentName;
  durationMs: number;
  windows: MeasuredWindow[];
  /** Loads of the model classes as shares of the engines' capacity. */
  highestTierLoad: number;
  otherLoad: number;
  /** Share of long jobs. */
  longShare: number;
  withoutLong?: boolean;
  /** Course of the whole load. */
  profile: ProfilePoint[];
  /** Course of the first (a large) customer's load, where it differs. */
  largeCustomerProfile?: ProfilePoint[];
  slowAtMs?: number;
  /** Measures the router's own time. */
  hasProbes?: boolean;
  /** Whether the highest tier's own demand fits the capacity. */
  highestTierFits: boolean;
  /** Name that the seed is derived from; pairs have the same. */
  seedName: string;
}

/** Durations in milliseconds. */
interface Durations {
  warmUp: number;
  steady: number;
  half: number;
  crestBase: number;
  crestHold: number;
  crestTail: number;
  slowBefore: number;
  /** Servers are slowed for this time before their effect counts. */
  slowSettle: number;
  slowAfter: number;
}

const fullDurations: Durations = {
  warmUp: 1_500,
  steady: 5_000,
  half: 6_500,
  crestBase: 2_000,
  crestHold: 4_000,
  crestTail: 1_500,
  slowBefore: 3_500,
  slowSettle: 5_000,
  slowAfter: 4_000,
};
const smallDurations: Durations = {
  warmUp: 500,
  steady: 1_500,
  half: 1_500,
  crestBase: 500,
  crestHold: 1_200,
  crestTail: 300,
  slowBefore: 2_000,
  slowSettle: 5_000,
  slowAfter: 1_000,
};

/** The load rises to four times within this time. */
const crestRampMs = 2_000;
const crestFactor = 4;
/** At the crest the load is 1.6 times the capacity. */
const crestBaseLoad = 0.4;
/**
 * Short answers of requests that arrive less than this before the slowing
 * would count as undisturbed although they are disturbed.
 */
const slowMarginMs = 1_000;
/** With one in six engines at a tenth, 85% of the capacity is left or more. */
const slowedLoad = 0.6;
const highestTierShare = 0.4;
const usualLongShare = 0.04;
const headOfLineLongShare = 0.05;
const burstFactor = 8;
const constantProfile = [{atMs: 0, factor: 1}];

/** Experiments that baselines run in the small form. */
export const smallBaselineExperiments: readonly ExperimentName[] = [
  ExperimentName.Load100,
  ExperimentName.Crest,
];

/** Builds all experiments in the order in which they run. */
export function buildExperiments(isSmall: boolean): Experiment[] {
  const durations = isSmall ? smallDurations : fullDurations;
  const {warmUp, steady, half} = durations;
  return [
    {
      ...buildSteady(ExperimentName.HalfLoad, 0.5, warmUp, half),
      hasProbes: true,
    },
    buildSteady(ExperimentName.Load85, 0.85, warmUp, steady),
    buildSteady(ExperimentName.Load100, 1, warmUp, steady),
    buildCrest(durations),
    ...buildHeadOfLine(durations),
    buildSlowed(durations),
    {
      ...buildSteady(ExperimentName.LowestTierOverload, 1, warmUp, steady),
      highestTierLoad: 0.3,
      otherLoad: 1.4,
    },
    {
      ...buildSteady(ExperimentName.HighestTierOverload, 1, warmUp, steady),
      highestTierLoad: 1.3,
      otherLoad: 0.3,
      highestTierFits: false,
    },
    buildBurst(durations),
  ];
}

/** Builds the load that each system gets before its first experiment. */
export function buildWarmUp(isSmall: boolean): Experiment {
  const durationMs = isSmall ? 1_500 : 3_000;
  return {
    ...buildSteady(ExperimentName.WarmUp, 0.5, 0, durationMs),
    longShare: 0,
    hasProbes: true,
  };
}

function buildSteady(
  name: ExperimentName,
  load: number,
  warmUpMs: number,
  steadyMs: number,
): Experiment {
  const durationMs = warmUpMs + steadyMs;
  return {
    name,
    durationMs,
    windows: [{name: WindowName.Whole, fromMs: warmUpMs, toMs: durationMs}],
    highestTierLoad: load * highestTierShare,
    otherLoad: load * (1 - highestTierShare),
    longShare: usualLongShare,
    profile: constantProfile,
    highestTierFits: true,
    seedName: name,
  };
}

function buildCrest(durations: Durations): Experiment {
  const {crestBase, crestHold, crestTail} = durations;
  const crestFromMs = crestBase + crestRampMs;
  const crestToMs = crestFromMs + crestHold;
  const fallenMs = crestToMs + crestRampMs / 2;
  const durationMs = fallenMs + crestTail;
  return {
    ...buildSteady(ExperimentName.Crest, crestBaseLoad, 0, durationMs),
    windows: [
      {name: WindowName.Crest, fromMs: crestFromMs, toMs: crestToMs},
      {name: WindowName.Whole, fromMs: 0, toMs: durationMs},
    ],
    profile: [
      {atMs: crestBase, factor: 1},
      {atMs: crestFromMs, factor: crestFactor},
      {atMs: crestToMs, factor: crestFactor},
      {atMs: fallenMs, factor: 1},
    ],
  };
}

/** The same short work, without and with the long jobs. */
function buildHeadOfLine({warmUp, steady}: Durations): Experiment[] {
  const withLong = {
    ...buildSteady(ExperimentName.ShortWithLong, 0.7, warmUp, steady),
    longShare: headOfLineLongShare,
    seedName: 'headOfLine',
  };
  const name = ExperimentName.ShortOnly;
  return [{...withLong, name, withoutLong: true}, withLong];
}

function buildSlowed(durations: Durations): Experiment {
  const {warmUp, slowBefore, slowSettle, slowAfter} = durations;
  const slowAtMs = warmUp + slowBefore;
  const settledMs = slowAtMs + slowSettle;
  const durationMs = settledMs + slowAfter;
  return {
    ...buildSteady(ExperimentName.SlowedEngines, slowedLoad, 0, durationMs),
    windows: [
      {
        name: WindowName.Before,
        fromMs: warmUp,
        toMs: slowAtMs - slowMarginMs,
      },
      {name: WindowName.After, fromMs: settledMs, toMs: durationMs},
    ],
    slowAtMs,
  };
}

function buildBurst({warmUp, steady}: Durations): Experiment {
  return {
    ...buildSteady(ExperimentName.LargeCustomerBurst, 0.5, warmUp, steady),
    largeCustomerProfile: [
      {atMs: warmUp - 1, factor: 1},
      {atMs: warmUp, factor: burstFactor},
    ],
  };
}
