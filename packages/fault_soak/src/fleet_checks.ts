/** Checks over all calls of an episode. */
import { isStream, isUnknownRoute } from "./call_checks.ts";
import type { History } from "./history.ts";
import { formatCall, type Violation } from "./violation.ts";

/** Limits of the retry budget that the gateways share. */
export type RetryBudgetLimits = {
  ratio: number;
  slack: number;
  windowSeconds: number;
};

/** Finds gateway processes that had a route and later lacked it. */
export function findVersionRollbacks({ calls }: History): Violation[] {
  const added = calls.filter(({ kind, outcome }) =>
    kind === "added" && outcome.type === "answered"
  );
  return added.filter(isUnknownRoute).flatMap((call) => {
    const earlier = added.find((before) =>
      before.gateway === call.gateway &&
      before.gatewayIncarnation === call.gatewayIncarnation &&
      before.version >= call.version &&
      before.endedAtMs < call.sentAtMs && !isUnknownRoute(before)
    );
    if (earlier === undefined) return [];
    const detail = `had version ${earlier.version}: ${formatCall(call)}`;
    return [{ check: "never-back" as const, detail }];
  });
}

/** Finds services that received more retries in a window than are allowed. */
export function findExcessRetries(
  { calls, runnerEvents }: History,
  limits: RetryBudgetLimits,
): Violation[] {
  const seen = new Set<string>();
  const arrivals = runnerEvents
    .filter(({ type }) => type === "arrived")
    .sort((left, right) => left.atMs - right.atMs)
    .map((event) => {
      const isRetry = seen.has(event.attemptId);
      seen.add(event.attemptId);
      return { ...event, isRetry };
    });
  const windowMs = limits.windowSeconds * 1000;
  return ["engine", "desk"].flatMap((service) => {
    const retries = arrivals.filter((each) =>
      each.isRetry && each.service === service
    );
    const excess = retries.find(({ atMs }) => {
      const isInWindow = (time: number) =>
        time > atMs - windowMs && time <= atMs;
      const retryCount = retries.filter((each) => isInWindow(each.atMs)).length;
      const callCount = calls.filter((call) =>
        isStream(call) === (service === "engine") && isInWindow(call.sentAtMs)
      ).length;
      return retryCount > limits.ratio * callCount + limits.slack;
    });
    if (excess === undefined) return [];
    const detail = `too many retries at ${service} until ${excess.atMs}`;
    return [{ check: "repeats" as const, detail }];
  });
}
