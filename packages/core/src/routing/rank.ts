import { hash32, mix32 } from "../hashing/mod.ts";
import type { RunnerId } from "../tables/mod.ts";

/** What ranking reads of a runner. */
export type Rankable = {
  readonly id: RunnerId;
  /** Relative capacity; a runner of 2 is the home of twice as many chats. */
  readonly capacity: number;
};

/** How runners are ranked. */
export type RankOptions = {
  /** How many of the best ranks are wanted; all unless given. */
  count?: number;
};

const runnerHashes = new Map<RunnerId, number>();

/**
 * Ranks runners for a chat by weighted rendezvous hashing (Thaler and
 * Ravishankar, 1998; logarithmic weights after Schindelhauer and Schomaker,
 * 2005). Selects the best `count` in one pass without sorting the rest.
 *
 * @param key 64-bit chat key.
 * @returns the runners, the home first; empty when there are none.
 */
export function rankRunners<Runner extends Rankable>(
  key: bigint,
  runners: readonly Runner[],
  options: RankOptions = {},
): Runner[] {
  const count = Math.min(options.count ?? runners.length, runners.length);
  const word = foldKey(key);
  const best: Runner[] = [];
  const scores: number[] = [];
  for (const runner of runners) {
    const score = getScore(word, runner);
    if (best.length === count && score >= scores[count - 1]) continue;
    let place = best.length < count ? best.length : count - 1;
    while (place > 0 && scores[place - 1] > score) {
      best[place] = best[place - 1];
      scores[place] = scores[place - 1];
      place -= 1;
    }
    best[place] = runner;
    scores[place] = score;
  }
  return best;
}

/** Folds a 64-bit key into the 32 bits that ranking mixes. */
function foldKey(key: bigint): number {
  return Number(key & 0xffffffffn) ^ Number(key >> 32n);
}

/** Exponential variate with rate `capacity`; the smallest wins. */
function getScore(word: number, runner: Rankable): number {
  const uniform = (mix32(word, getRunnerHash(runner.id)) + 1) / 4294967297;
  return -Math.log(uniform) / Math.max(runner.capacity, Number.MIN_VALUE);
}

function getRunnerHash(id: RunnerId): number {
  let hash = runnerHashes.get(id);
  if (hash === undefined) {
    hash = hash32(id);
    runnerHashes.set(id, hash);
  }
  return hash;
}
