import type { RunnerOutcome } from "@jasminetide/core/pools";
import type { LogFields } from "@jasminetide/runtime/logging";
import type { GatewayContext } from "../gateway_context.ts";
import {
  type BegunAnswer,
  type CallerRequest,
  listSharedParts,
  type PromptPart,
  type RunnerAnswer,
} from "../protocol.ts";
import type { Upstream } from "../upstreams/mod.ts";
import type { AttemptEnd } from "./attempt.ts";

/** Gets the outcome that an end means for the runner's health, if any. */
export function getRunnerOutcome(end: AttemptEnd): RunnerOutcome | undefined {
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
    case "cancelled":
      return undefined;
  }
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

/**
 * Records what an answer states about whether its runner accepts requests, and
 * logs a change.
 */
export function observeAvailability(
  upstream: Upstream,
  answer: RunnerAnswer,
  { logger, timers }: Pick<GatewayContext, "logger" | "timers">,
): void {
  const { availability, id } = upstream;
  if (answer.isLeaving && availability.recordLeaving()) {
    logger.info("runner-leaving", { runner: id });
  }
  if (answer.pauseMs === undefined) return;
  const pauseMs = availability.recordPause(answer.pauseMs, timers.nowMs());
  logger.info("runner-paused", {
    runner: id,
    pauseMs,
    requestedMs: answer.pauseMs,
  });
}

/** Learns from an answer that had begun whether its prompt crashes runners. */
export function observePrompt(
  { begun, upstream }: { begun: BegunAnswer | undefined; upstream: Upstream },
  { caller, end }: { caller: CallerRequest; end: AttemptEnd },
  { crashGuard }: Pick<GatewayContext, "crashGuard">,
): void {
  const isWhole = end.type === "relayed" || end.type === "answered";
  if (begun === undefined || (!isWhole && end.type !== "broken")) return;
  crashGuard.observeEnd({ upstream, begun, caller, isWhole });
}

/** Describes the end of an attempt for a log line. */
export function describeEnd(
  end: AttemptEnd,
): { end: string; reason?: string; status?: number } {
  if ("reason" in end) return { end: end.type, reason: end.reason };
  if ("head" in end) return { end: end.type, status: end.head.status };
  return { end: end.type };
}

/** A request whose attempt has ended. */
export type EndedRequest = {
  nowMs: number;
  prompt: readonly PromptPart[];
  /** Gets the key that it has whenever it is sent. */
  getKey: () => string;
};

/**
 * Describes a request whose answer broke off, for a log line: its key and, if
 * the answer had begun, the time since then and the shared parts of the prompt.
 * By these, several such requests can be related.
 */
export function describeBreak(
  end: AttemptEnd,
  { begun }: { begun: BegunAnswer | undefined },
  { getKey, nowMs, prompt }: EndedRequest,
): LogFields {
  if (end.type !== "broken") return {};
  if (begun === undefined) return { requestKey: getKey() };
  return {
    requestKey: getKey(),
    begunForMs: Math.round(nowMs - begun.atMs),
    sharedParts: listSharedParts(prompt).map(({ id }) => id).join(" "),
  };
}
