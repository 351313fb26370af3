import type { Settings } from "../configuration/mod.ts";
import type { LatencyTracker } from "./latency_tracker.ts";

/** Shortest silence limit that is derived from observations. */
const minimumSilenceMs = 250;

/** Multiple of the observed p99 beyond which silence counts as a fault. */
const silenceFactor = 3;

/** Quantile of the observed silences from which the limit is computed. */
const silenceQuantile = 0.99;

/**
 * Gets how long a connection may stay silent before it counts as failed: a
 * multiple of the observed silences, at most the configured bound. With too few
 * observations, it is the bound.
 */
export function getSilenceLimitMs(
  tracker: LatencyTracker,
  options: { boundMs: number; nowMs: number },
): number {
  const observedMs = tracker.getQuantileMs(silenceQuantile, options.nowMs);
  if (observedMs === undefined) return options.boundMs;
  const limitMs = Math.max(minimumSilenceMs, silenceFactor * observedMs);
  return Math.min(options.boundMs, limitMs);
}

/**
 * Gets the delay after which a lookup is late and may be hedged: a quantile of
 * the observed latencies, and a multiple of their median at least. A hedge itself
 * takes about the median, so it would win seldom where the slow answers are little
 * slower than the others. Undefined with too few observed latencies.
 */
export function getHedgeDelayMs(
  tracker: LatencyTracker,
  { hedge, nowMs }: {
    hedge: Pick<Settings["hedge"], "afterQuantile">;
    nowMs: number;
  },
): number | undefined {
  const delayMs = tracker.getQuantileMs(hedge.afterQuantile, nowMs);
  const medianMs = tracker.getQuantileMs(0.5, nowMs);
  if (delayMs === undefined || medianMs === undefined) return undefined;
  return Math.max(minHedgeDelayMs, delayMs, medianMs * minMedianMultiple);
}

/** Shortest delay: the network and the event loop vary by as much. */
const minHedgeDelayMs = 5;

/** Shortest delay as a multiple of the median. */
const minMedianMultiple = 3;
