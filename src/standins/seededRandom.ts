/** Seeded random numbers of the stand-ins. */
import {xoroshiro128plus} from 'pure-rand';

const generatorRange = 2 ** 32;

/** Draws numbers that depend only on the seed. */
export class SeededRandom {
  private readonly generator;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** Draws a number from 0 to below 1. */
  draw(): number {
    return (this.generator.unsafeNext() >>> 0) / generatorRange;
  }
}
