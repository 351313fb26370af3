import type { RunnerRow } from "../tables/mod.ts";

/** Options for computing the mean load of a pool. */
export type PoolMeanOptions = {
  /** Only runners that serve at least one of these pools count. */
  pools: readonly string[];
  nowMs: number;
  /** Records older than this do not count. */
  staleAfterMs: number;
  /** A runner publishes its load when it changes by more than this share. */
  publishRatio: number;
  /** Changes of at most this many tokens are not published. */
  publishTokens: number;
};

/** Mean load of a pool, from the records that one process holds. */
export type PoolMean = {
  /** Weighted tokens per unit of capacity. */
  tokens: number;
  /** Age of the oldest record in the mean. */
  ageMs: number;
  /**
   * Bound on the difference between `tokens` and the mean of the actual loads
   * when the records were created, due to changes too small to be published.
   */
  errorTokens: number;
  /** Runners whose records count. */
  runners: number;
  /** Runners of the pool whose records are too old. */
  stale: number;
};

/**
 * Gets the mean load of a pool per unit of capacity. Leaving runners and
 * runners of unknown epoch do not count.
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
