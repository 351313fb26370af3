import type { LatencyTracker } from "@jasminetide/core/retries";
import type { DeclaredRoute, RequestKind } from "@jasminetide/core/routes";

/** What the limit on an answer's start depends on. */
export type StartLimitOptions = {
  goalMs: number;
  kind: RequestKind;
  nowMs: number;
};

/**
 * Gets how long a runner may take to the first byte of its answer before
 * another one takes over: somewhat beyond what callers hope for, and longer
 * where all runners are slow, since moving requests would then only add load.
 */
export function getStartLimitMs(
  firstByteTimes: LatencyTracker,
  options: StartLimitOptions,
): number {
  const multiple = options.kind === "stream"
    ? streamGoalMultiple
    : plainGoalMultiple;
  const usualMs = firstByteTimes.getQuantileMs(0.5, options.nowMs) ?? 0;
  return Math.max(
    minLimitMs,
    options.goalMs * multiple,
    usualMs * usualMultiple,
  );
}

/** Gets how long a stream may pause before another runner takes over. */
export function getPauseLimitMs(route: DeclaredRoute): number {
  if (route.pauseGoalMs === undefined) return unknownPauseLimitMs;
  return Math.max(minPauseLimitMs, route.pauseGoalMs * pauseGoalMultiple);
}

/** Callers leave a stream at four times the hoped-for time to its start. */
const streamGoalMultiple = 1.25;
const plainGoalMultiple = 2;

/** Multiple of the median beyond which a start is unusual. */
const usualMultiple = 4;

/** A lost packet on the way costs some 200 ms, twice on the way and back. */
const minLimitMs = 250;

/** Callers leave at eight times the pause that they hope for, or 2 s. */
const pauseGoalMultiple = 3;

/** Two losses of a packet in a row delay it by some 600 ms. */
const minPauseLimitMs = 700;
const unknownPauseLimitMs = 1000;
