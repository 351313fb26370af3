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

/** Hashes and capacities of a list of runners, by place in the list. */
type RankIndex = { hashes: Uint32Array; capacities: Float64Array };

const indexes = new WeakMap<readonly Rankable[], RankIndex>();

const hashRange = 4294967297;

/**
 * Ranks runners for a chat by weighted rendezvous hashing (Thaler and
 * Ravishankar, 1998; logarithmic weights after Schindelhauer and Schomaker,
 * 2005). Selects the best `count` in one pass without sorting the rest.
 *
 * @param key 64-bit chat key.
 * @param runners a list that is not changed later, since its hashes are kept.
 * @returns the runners, the home first; empty when there are none.
 */
export function rankRunners<Runner extends Rankable>(
  key: bigint,
  runners: readonly Runner[],
  options: RankOptions = {},
): Runner[] {
  const count = Math.min(options.count ?? runners.length, runners.length);
  const { hashes, capacities } = getIndex(runners);
  const word = foldKey(key);
  const best: Runner[] = [];
  const scores: number[] = [];
  let leastUniform = 0;
  let leastCapacity = 0;
  for (let index = 0; index < runners.length; index++) {
    const uniform = (mix32(word, hashes[index]) + 1) / hashRange;
    const capacity = capacities[index];
    // Spares the logarithm of runners that cannot be among the best.
    if (capacity === leastCapacity && uniform <= leastUniform) continue;
    const score = -Math.log(uniform) / capacity;
    if (best.length === count && score >= scores[count - 1]) continue;
    insertRanked(runners[index], { score, best, scores, count });
    if (best.length < count) continue;
    leastCapacity = capacity;
    leastUniform = Math.exp(-scores[count - 1] * capacity);
  }
  return best;
}

type Ranking<Runner> = {
  score: number;
  best: Runner[];
  scores: number[];
  count: number;
};

function insertRanked<Runner>(runner: Runner, ranking: Ranking<Runner>): void {
  const { best, count, score, scores } = ranking;
  let place = best.length < count ? best.length : count - 1;
  while (place > 0 && scores[place - 1] > score) {
    best[place] = best[place - 1];
    scores[place] = scores[place - 1];
    place -= 1;
  }
  best[place] = runner;
  scores[place] = score;
}

/** Folds a 64-bit key into the 32 bits that ranking mixes. */
function foldKey(key: bigint): number {
  return Number(key & 0xffffffffn) ^ Number(key >> 32n);
}

function getIndex(runners: readonly Rankable[]): RankIndex {
  const known = indexes.get(runners);
  if (known !== undefined) return known;
  const index = {
    hashes: Uint32Array.from(runners, ({ id }) => hash32(id)),
    capacities: Float64Array.from(
      runners,
      ({ capacity }) => Math.max(capacity, Number.MIN_VALUE),
    ),
  };
  indexes.set(runners, index);
  return index;
}
