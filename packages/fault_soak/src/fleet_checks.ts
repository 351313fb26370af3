/** Checks that look at many calls together. */
import { isStream, isUnknownRoute } from "./call_checks.ts";
import type { History } from "./history.ts";
import { formatCall, type Violation } from "./violation.ts";

/** Budget of repeats that the gateways share. */
export type RepeatLimits = {
  ratio: number;
  slack: number;
  windowSeconds: number;
};

/** Finds processes that knew a route and then no longer did. */
export function findReturns({ calls }: History): Violation[] {
  const added = calls.filter(({ kind, outcome }) =>
    kind === "added" && outcome.type === "answered"
  );
  return added.filter(isUnknownRoute).flatMap((call) => {
    const known = added.find((before) =>
      before.gateway === call.gateway &&
      before.gatewayLife === call.gatewayLife &&
      before.version >= call.version &&
      before.endedAtMs < call.sentAtMs && !isUnknownRoute(before)
    );
    if (known === undefined) return [];
    const detail = `version ${known.version} was known: ${formatCall(call)}`;
    return [{ check: "never-back" as const, detail }];
  });
}

/** Finds windows in which a service got more repeats than all may make. */
export function findExcessRepeats(
  { calls, runnerEvents }: History,
  limits: RepeatLimits,
): Violation[] {
  const seen = new Set<string>();
  const arrivals = runnerEvents
    .filter(({ type }) => type === "arrived")
    .sort((left, right) => left.atMs - right.atMs)
    .map((event) => {
      const isRepeat = seen.has(event.attemptId);
      seen.add(event.attemptId);
      return { ...event, isRepeat };
    });
  const windowMs = limits.windowSeconds * 1000;
  return ["engine", "desk"].flatMap((service) => {
    const repeats = arrivals.filter((each) =>
      each.isRepeat && each.service === service
    );
    const excess = repeats.find(({ atMs }) => {
      const isInWindow = (time: number) =>
        time > atMs - windowMs && time <= atMs;
      const repeated = repeats.filter((each) => isInWindow(each.atMs)).length;
      const asked = calls.filter((call) =>
        isStream(call) === (service === "engine") && isInWindow(call.sentAtMs)
      ).length;
      return repeated > limits.ratio * asked + limits.slack;
    });
    if (excess === undefined) return [];
    const detail = `too many repeats at ${service} until ${excess.atMs}`;
    return [{ check: "repeats" as const, detail }];
  });
}
