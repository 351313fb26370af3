import type { LatencyTracker } from "@jasminetide/core/retries";
import type { DeclaredRoute, RequestKind } from "@jasminetide/core/routes";

/** Inputs to the time limit for the first byte of an answer. */
export type FirstByteLimitOptions = {
  goalMs: number;
  /** Time limit of the whole answer. */
  timeoutMs: number;
  kind: RequestKind;
  nowMs: number;
};

/**
 * Gets how long a runner may take to send the first byte of its answer before
 * another one takes over. The limit is somewhat above the route's goal, lower
 * where the timeout would leave the other one no time, and higher when all
 * runners are slow, since moving requests would then only add load.
 */
export function getFirstByteLimitMs(
  firstByteTimes: LatencyTracker,
  options: FirstByteLimitOptions,
): number {
  const multiple = options.kind === "stream"
    ? streamGoalMultiple
    : plainGoalMultiple;
  const medianMs = firstByteTimes.getQuantileMs(0.5, options.nowMs) ?? 0;
  return Math.max(
    minLimitMs,
    Math.min(
      options.goalMs * multiple,
      options.timeoutMs * maxTimeoutShare,
    ),
    medianMs * medianMultiple,
  );
}

/** Gets how long a stream may pause before another runner takes over. */
export function getPauseLimitMs(route: DeclaredRoute): number {
  if (route.pauseGoalMs === undefined) return defaultPauseLimitMs;
  return Math.max(minPauseLimitMs, route.pauseGoalMs * pauseGoalMultiple);
}

/**
 * Limit for streams, as a multiple of the goal for the first byte. Callers
 * leave a stream after four times the goal.
 */
const streamGoalMultiple = 1.25;
/** Limit for answers that are not streams, as a multiple of the goal. */
const plainGoalMultiple = 2;

/** Share of the timeout after which as much is left for another runner. */
const maxTimeoutShare = 0.5;

/** Multiple of the median beyond which a first byte is unusually late. */
const medianMultiple = 4;

/**
 * Lower bound of the limit. A lost packet costs some 200 ms, twice if one is
 * lost in each direction.
 */
const minLimitMs = 250;

/**
 * Pause limit as a multiple of the pause goal. Callers leave after eight times
 * the goal, or 2 s.
 */
const pauseGoalMultiple = 3;

/**
 * Lower bound of the pause limit. A packet lost twice in a row is delayed by
 * some 600 ms.
 */
const minPauseLimitMs = 700;
/** Pause limit of routes without a pause goal. */
const defaultPauseLimitMs = 1000;
