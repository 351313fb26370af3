import { hash32, mix32 } from "../hashing/mod.ts";
import type { RunnerId } from "../tables/mod.ts";

/** Fields of a runner that its ranks depend on. */
export type Rankable = {
  readonly id: RunnerId;
  /**
   * Relative capacity; a runner of capacity 2 is the home of twice as many
   * chats as one of capacity 1.
   */
  readonly capacity: number;
};

/** Options of a ranking. */
export type RankOptions = {
  /** Number of best ranks to return; all by default. */
  count?: number;
};

/** Hashes and capacities of a list of runners, in the order of the list. */
type RankIndex = { hashes: Uint32Array; capacities: Float64Array };

/** Cached index of each list of runners. */
const indexes = new WeakMap<readonly Rankable[], RankIndex>();

/** Maps a 32-bit hash plus 1 into the open interval from 0 to 1. */
const hashRange = 4294967297;

/**
 * Ranks runners for a chat by weighted rendezvous hashing (Thaler and
 * Ravishankar, 1998; logarithmic weights after Schindelhauer and Schomaker,
 * 2005). Selects the best `count` in one pass without sorting the rest.
 *
 * @param key 64-bit chat key.
 * @param runners must not be changed later, since its hashes are cached.
 * @returns the runners, home first; empty when there are none.
 */
export function rankRunners<Runner extends Rankable>(
  key: bigint,
  runners: readonly Runner[],
  options: RankOptions = {},
): Runner[] {
  const count = Math.min(options.count ?? runners.length, runners.length);
  const { hashes, capacities } = getIndex(runners);
  const foldedKey = foldKey(key);
  const best: Runner[] = [];
  const scores: number[] = [];
  let leastUniform = 0;
  let leastCapacity = 0;
  for (let index = 0; index < runners.length; index++) {
    const uniform = (mix32(foldedKey, hashes[index]) + 1) / hashRange;
    const capacity = capacities[index];
    // Skips the logarithm for runners that cannot be among the best.
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
  let position = best.length < count ? best.length : count - 1;
  while (position > 0 && scores[position - 1] > score) {
    best[position] = best[position - 1];
    scores[position] = scores[position - 1];
    position -= 1;
  }
  best[position] = runner;
  scores[position] = score;
}

/** Folds a 64-bit key into 32 bits. */
function foldKey(key: bigint): number {
  return Number(key & 0xffffffffn) ^ Number(key >> 32n);
}

function getIndex(runners: readonly Rankable[]): RankIndex {
  const cached = indexes.get(runners);
  if (cached !== undefined) return cached;
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
