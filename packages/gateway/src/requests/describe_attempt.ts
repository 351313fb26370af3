/** Fields of the log lines on an attempt. */
import type { LogFields } from "@jasminetide/runtime/logging";
import type { Silence } from "@jasminetide/runtime/streams";
import type { Placement } from "./place_attempt.ts";
import type { RunningAttempt } from "./running_attempt.ts";

/** Describes the runner that an attempt is sent to. */
export function describePlacement(
  { cacheSource, prefixId, upstream }: Placement,
  nowMs: number,
): LogFields {
  return {
    runner: upstream.id,
    softwareVersion: upstream.record.softwareVersion,
    load: upstream.load.getEstimate(nowMs),
    limitPerSecond: upstream.availability.limit.getPerSecond(nowMs),
    failureShare: Number(upstream.health.getFailureShare(nowMs).toFixed(2)),
    prefix: prefixId,
    cacheSource,
  };
}

/** Names an attempt and its runner. */
export function describeAttempt({ number, upstream }: RunningAttempt) {
  return { runner: upstream.id, attempt: number };
}

/** Describes how long an attempt is silent. */
export function describeSilence(
  running: RunningAttempt,
  { silentMs, timerDelayMs }: Silence,
): LogFields {
  return {
    ...describeAttempt(running),
    silentMs: Math.round(silentMs),
    timerDelayMs: Math.round(timerDelayMs),
    isAwaitingFirstByte: running.isAwaitingFirstByte,
  };
}
