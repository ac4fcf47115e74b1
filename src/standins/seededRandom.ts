/** Seeded random numbers for reproducible runs of the stand-ins. */
import {xoroshiro128plus} from 'pure-rand';

const generatorRange = 2 ** 32;

/** Generates a sequence of numbers that depends only on the seed. */
export class SeededRandom {
  private readonly generator;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** Draws a uniform number from 0 (inclusive) to 1 (exclusive). */
  draw(): number {
    return (this.generator.unsafeNext() >>> 0) / generatorRange;
  }
}
