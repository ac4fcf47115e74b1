/** Parts that all rows of the table are built from. */
import type {ExperimentName, WindowName} from '../experiment.js';
import {
  compareWithBaselines,
  compareWithTarget,
  type ReportRow,
} from './reportRow.js';
import {SystemName, type RunMeasures} from './runMeasures.js';
import type {WindowMeasures} from './windowMeasures.js';

export type Runs = Map<string, RunMeasures>;
export type Target = {atLeast: number} | {atMost: number};

/** What a row is built from, apart from its figures. */
export interface RowHead {
  experiment: string;
  measure: string;
  unit: string;
  better?: 'higher' | 'lower';
  target?: Target;
}

export function buildRow(
  head: RowHead,
  figures: ReportRow['figures'],
): ReportRow {
  const {target, better, ...names} = head;
  const ahead = better && compareWithBaselines(figures, better);
  return {
    ...names,
    figures,
    ...(better ? {better} : {}),
    ...(target
      ? {
          target: {
            text:
              'atLeast' in target
                ? `>= ${target.atLeast}`
                : `<= ${target.atMost}`,
            verdict: compareWithTarget(figures[SystemName.Router], target),
          },
        }
      : {}),
    ...(ahead ? {ahead} : {}),
  };
}

export function readFigures(
  runs: Runs,
  experiment: ExperimentName,
  compute: (run: RunMeasures) => number | undefined,
): ReportRow['figures'] {
  const figures: ReportRow['figures'] = {};
  for (const system of Object.values(SystemName)) {
    const run = runs.get(buildKey(experiment, system));
    const figure = run && compute(run);
    if (figure !== undefined) figures[system] = figure;
  }
  return figures;
}

export function computeRatios(
  over: ReportRow['figures'],
  under: ReportRow['figures'],
): ReportRow['figures'] {
  const ratios: ReportRow['figures'] = {};
  for (const system of Object.values(SystemName)) {
    const [a, b] = [over[system], under[system]];
    if (a !== undefined && b !== undefined && b > 0) ratios[system] = a / b;
  }
  return ratios;
}

export function findWindow(
  {windows}: RunMeasures,
  name: WindowName,
): WindowMeasures | undefined {
  return windows.find(({window}) => window === name);
}

export function buildKey(
  experiment: ExperimentName,
  system: SystemName,
): string {
  return `${experiment} ${system}`;
}

export function computePercent(share: number | undefined): number | undefined {
  return share === undefined ? undefined : share * 100;
}
