import type { RunnerRow } from "../tables/mod.ts";

/** Which records count towards a mean. */
export type PoolMeanOptions = {
  /** Runners that serve any of these count. */
  pools: readonly string[];
  nowMs: number;
  /** Records older than this do not count. */
  staleAfterMs: number;
  /** A runner tells its load anew when it moved by this share. */
  publishRatio: number;
  /** Moves below this many tokens are not told. */
  publishTokens: number;
};

/** Mean load of a pool as one process knows it. */
export type PoolMean = {
  /** Weighted tokens for a capacity of 1. */
  tokens: number;
  /** Age of the oldest record in the mean. */
  ageMs: number;
  /**
   * Bound on the difference between `tokens` and the mean of the loads at the
   * times at which the records were made, from moves too small to be told.
   */
  errorTokens: number;
  /** Runners whose records count. */
  runners: number;
  /** Runners of the pool whose records are too old. */
  stale: number;
};

/**
 * Gets the mean load of a pool for a unit of capacity. Leaving runners and
 * those of unknown epoch do not count.
 */
export function getPoolMean(
  runners: Iterable<RunnerRow>,
  options: PoolMeanOptions,
): PoolMean {
  const { nowMs, pools, publishRatio, publishTokens, staleAfterMs } = options;
  let tokens = 0;
  let capacity = 0;
  let error = 0;
  const mean = { tokens: 0, ageMs: 0, errorTokens: 0, runners: 0, stale: 0 };
  for (const runner of runners) {
    if (runner.state !== "active") continue;
    if (!runner.pools.some((pool) => pools.includes(pool))) continue;
    const ageMs = Math.max(0, nowMs - runner.observedAtMs);
    if (ageMs > staleAfterMs) {
      mean.stale += 1;
      continue;
    }
    mean.runners += 1;
    mean.ageMs = Math.max(mean.ageMs, ageMs);
    tokens += runner.loadTokens;
    capacity += runner.capacity;
    error += Math.max(publishTokens, publishRatio * runner.loadTokens);
  }
  if (capacity === 0) return mean;
  mean.tokens = tokens / capacity;
  mean.errorTokens = error / capacity;
  return mean;
}
