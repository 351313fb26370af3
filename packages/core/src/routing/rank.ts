import { hash32, mix32 } from "../hashing/mod.ts";
import type { RunnerRow } from "../tables/mod.ts";

/** How runners are ranked. */
export type RankOptions = {
  /** Weight of a runner; its capacity unless given. */
  weigh?: (runner: RunnerRow) => number;
};

const runnerHashes = new Map<string, number>();

/**
 * Ranks runners for a chat by weighted rendezvous hashing (Thaler and
 * Ravishankar, 1998; logarithmic weights after Schindelhauer and Schomaker,
 * 2005).
 *
 * @param key 64-bit chat key.
 * @returns the runners, the home first; empty when there are none.
 */
export function rankRunners(
  key: bigint,
  runners: readonly RunnerRow[],
  options: RankOptions = {},
): RunnerRow[] {
  const weigh = options.weigh ?? ((runner) => runner.capacity);
  const word = Number(key & 0xffffffffn) ^ Number(key >> 32n);
  const scored = runners.map((runner) => ({
    runner,
    score: getScore(word, runner.id, weigh(runner)),
  }));
  scored.sort((left, right) => left.score - right.score);
  return scored.map((entry) => entry.runner);
}

/** Exponential variate with rate `weight`; the smallest wins. */
function getScore(word: number, id: string, weight: number): number {
  const uniform = (mix32(word, getRunnerHash(id)) + 1) / 4294967297;
  return -Math.log(uniform) / Math.max(weight, Number.MIN_VALUE);
}

function getRunnerHash(id: string): number {
  let hash = runnerHashes.get(id);
  if (hash === undefined) {
    hash = hash32(id);
    runnerHashes.set(id, hash);
  }
  return hash;
}
