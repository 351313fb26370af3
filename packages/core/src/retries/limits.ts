import type { Settings } from "../configuration/mod.ts";
import type { LatencyTracker } from "./latency_tracker.ts";

/** Shortest silence on a connection that counts as a fault. */
const minimumSilenceMs = 250;

/** Multiple of the observed p99 beyond which silence counts as a fault. */
const silenceFactor = 3;

/** Quantile of the observed silences from which the limit is worked out. */
const silenceQuantile = 0.99;

/**
 * Gets how long a connection may stay silent before it is given up, from the
 * observed silences and never beyond the configured bound.
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

/** Gets when a second attempt at a lookup is sent; undefined when not yet. */
export function getHedgeDelayMs(
  tracker: LatencyTracker,
  options: { hedge: Settings["hedge"]; nowMs: number },
): number | undefined {
  return tracker.getQuantileMs(options.hedge.afterQuantile, options.nowMs);
}
