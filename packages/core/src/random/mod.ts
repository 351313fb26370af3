/** Seeded and system random sources with one shape. */
import { randomBytes } from "node:crypto";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** A source of random numbers that decision code takes as an argument. */
export type RandomSource = {
  /** A number from 0 up to but not including 1. */
  getFloat(): number;
  /** A whole number from 0 up to but not including `limit`. */
  getInteger(limit: number): number;
};

/** Creates a source that gives the same numbers for the same seed. */
export function createSeededRandom(seed: number): RandomSource {
  const generator = xoroshiro128plus(seed);
  return createRandom(() => uniformFloat64(generator));
}

/** Creates a source seeded from the operating system. */
export function createSystemRandom(): RandomSource {
  return createSeededRandom(randomBytes(4).readInt32LE());
}

function createRandom(getFloat: () => number): RandomSource {
  return {
    getFloat,
    getInteger: (limit) => Math.floor(getFloat() * limit),
  };
}
