/** Random sources, seeded explicitly or by the operating system. */
import { randomBytes } from "node:crypto";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** A source of random numbers, passed to decision code as an argument. */
export type RandomSource = {
  /** Gets a number in [0, 1). */
  getFloat(): number;
  /** Gets an integer in [0, `limit`). */
  getInteger(limit: number): number;
};

/** Creates a source that returns the same sequence for the same seed. */
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
