/** Lines of the bench's table. */
import type {SystemName} from './runMeasures.js';

export enum Verdict {
  Met = 'met',
  Missed = 'missed',
  NotMeasured = 'not measured',
  /** The driver was late; the figure doesn't count. */
  InvalidRun = 'invalid run',
}

/** One figure of each system that has one. */
export type Figures = Partial<Record<SystemName, number>>;

/** One line of the table. */
export interface ReportRow {
  experiment: string;
  measure: string;
  unit: string;
  figures: Figures;
  /** Systems with a figure of an invalid run. */
  invalid: SystemName[];
  /** Whether a higher or a lower figure is ahead; left out: not compared. */
  better?: 'higher' | 'lower';
  /** Against the fixed target. */
  target?: {text: string; verdict: Verdict};
  /** Against both baselines. */
  ahead?: Verdict;
}

/**
 * Compares the router with each baseline that has a figure. An equal figure
 * counts as ahead: nothing is better than all requests attained.
 */
export function compareWithBaselines(
  figures: Figures,
  better: 'higher' | 'lower',
): Verdict | undefined {
  const {router, ...baselines} = figures;
  const others = Object.values(baselines).filter(
    figure => figure !== undefined,
  );
  if (others.length === 0) return undefined;
  if (router === undefined) return Verdict.NotMeasured;
  const isAhead = others.every(figure =>
    better === 'higher' ? router >= figure : router <= figure,
  );
  return isAhead ? Verdict.Met : Verdict.Missed;
}

/** Compares a figure with a limit. */
export function compareWithTarget(
  figure: number | undefined,
  target: {atLeast: number} | {atMost: number},
): Verdict {
  if (figure === undefined || !Number.isFinite(figure)) {
    return Verdict.NotMeasured;
  }
  const isMet =
    'atLeast' in target ? figure >= target.atLeast : figure <= target.atMost;
  return isMet ? Verdict.Met : Verdict.Missed;
}
