import type { RunnerOutcome } from "@jasminetide/core/pools";
import type { LogFields } from "@jasminetide/runtime/logging";
import type { GatewayContext } from "../gateway_context.ts";
import {
  type BegunAnswer,
  listSharedParts,
  type RunnerAnswer,
} from "../protocol.ts";
import type { EndedAttempt, SuspectRequest } from "../quarantine/mod.ts";
import type { Upstream } from "../upstreams/mod.ts";
import type { AttemptEnd } from "./attempt.ts";

/** Gets the outcome that an end means for the runner's health, if any. */
function getRunnerOutcome(end: AttemptEnd): RunnerOutcome | undefined {
  switch (end.type) {
    case "relayed":
      return "succeeded";
    case "answered":
      return end.head.status < 500 ? "succeeded" : "failed";
    case "notRun":
      return "failed";
    case "unsent":
    case "broken":
      return "lost";
    case "withdrawn":
    case "cancelled":
      return undefined;
  }
}

/** Updates the capacity forecast and the runner's health. */
export function observeOutcome(
  { isSilent, upstream }: { isSilent: boolean; upstream: Upstream },
  { end, service }: { end: AttemptEnd; service: string },
  context: GatewayContext,
): void {
  if (end.type === "relayed" || end.type === "answered") {
    const forecast = context.services.getCapacityForecast(service);
    forecast.recordCompletion(context.timers.nowMs());
  }
  if (end.type === "notRun") {
    context.hedging.get(service)?.recordRefusal(context.timers.nowMs());
  }
  const outcome = getRunnerOutcome(end);
  // A silent attempt was counted as lost already.
  if (outcome === undefined || (outcome === "lost" && isSilent)) return;
  observeRunner(upstream, outcome, context);
}

/** Records an outcome in the runner's health and logs a change of state. */
export function observeRunner(
  upstream: Upstream,
  outcome: RunnerOutcome,
  { logger, timers }: Pick<GatewayContext, "logger" | "timers">,
): void {
  const change = upstream.health.observe(outcome, timers.nowMs());
  if (change === undefined) return;
  const { type, ...inputs } = change;
  logger.info(`runner-${type}`, { runner: upstream.id, outcome, ...inputs });
}

/** Records that an answer states that its runner leaves, and logs a change. */
export function observeLeaving(
  { availability, id }: Upstream,
  { isLeaving }: RunnerAnswer,
  { logger }: Pick<GatewayContext, "logger">,
): void {
  if (!isLeaving || !availability.recordLeaving()) return;
  logger.info("runner-leaving", { runner: id });
}

/** Records and logs the pause that the answer to a request asks for. */
export function observePause(
  { availability, id }: Upstream,
  answer: RunnerAnswer,
  { logger, timers }: Pick<GatewayContext, "logger" | "timers">,
): void {
  if (answer.pauseMs === undefined) return;
  const pauseMs = availability.recordPause(answer.pauseMs, timers.nowMs());
  logger.info("runner-paused", {
    runner: id,
    pauseMs,
    requestedMs: answer.pauseMs,
  });
}

/** Learns from the end of an attempt whether its request crashes runners. */
export function observeCrash(
  { begun, upstream }: Pick<EndedAttempt, "begun" | "upstream">,
  { end, ...suspect }: SuspectRequest & { end: AttemptEnd },
  { crashGuard }: Pick<GatewayContext, "crashGuard">,
): void {
  const isWhole = end.type === "relayed" || end.type === "answered";
  if (!isWhole && end.type !== "broken") return;
  crashGuard.observeEnd({ ...suspect, begun, upstream, isWhole });
}

/** Describes the end of an attempt for a log line. */
export function describeEnd(
  end: AttemptEnd,
): { end: string; reason?: string; status?: number } {
  if ("reason" in end) return { end: end.type, reason: end.reason };
  if ("head" in end) return { end: end.type, status: end.head.status };
  return { end: end.type };
}

/**
 * Describes a request whose answer broke off, for a log line: its key and, if
 * the answer had begun, the time since then and the shared parts of the prompt.
 * By these, several such requests can be related.
 */
export function describeBreak(
  end: AttemptEnd,
  { begun }: { begun: BegunAnswer | undefined },
  { caller, nowMs, requestKey }: SuspectRequest & { nowMs: number },
): LogFields {
  if (end.type !== "broken") return {};
  if (begun === undefined) return { requestKey };
  return {
    requestKey,
    begunForMs: Math.round(nowMs - begun.atMs),
    sharedParts: listSharedParts(caller.prompt).map(({ id }) => id).join(" "),
  };
}
