/** Options of property tests. */
import type fc from 'fast-check';

const ciSeed = 20_261_204;

/**
 * A fixed seed, so that CI is repeatable. PROPERTY_RUNS sets more runs and
 * PROPERTY_SEED another seed; a failure prints both.
 */
export function createPropertyOptions(runs: number): fc.Parameters<unknown> {
  return {
    seed: Number(process.env.PROPERTY_SEED ?? ciSeed),
    numRuns: Number(process.env.PROPERTY_RUNS ?? runs),
  };
}
