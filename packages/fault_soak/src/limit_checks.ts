/**
 * Checks that all gateways together keep to the limit that a runner states in
 * its answers.
 */
import { areRunnerLinksCut, isGatewayDisturbed } from "./disturbances.ts";
import type { CallRecord, History, RunnerEvent } from "./history.ts";
import { formatCall, type Violation } from "./violation.ts";

/** Time from a runner's first statement in which its limit does not bind. */
const contactMs = 3000;

/** Time in which a statement may cross requests that are on their way. */
const crossingMs = 500;

/** Length of the windows in which arrivals are counted. */
const windowMs = 4000;

/** Tolerated multiple of what a limit allows in a window, and requests more. */
const tolerance = { factor: 1.5, requests: 5 };

/** An event of a call at a runner that states a limit. */
type LimitedEvent = {
  call: CallRecord;
  event: RunnerEvent;
  limitPerSecond: number;
};

/** Finds runners that got more requests than they had stated. */
export function findExcessRequests(history: History): Violation[] {
  const events = listLimitedEvents(history);
  const runners = new Set(events.map(({ event }) => event.runner));
  return [...runners].flatMap((runner) =>
    findExcess(events.filter(({ event }) => event.runner === runner), history)
  );
}

function listLimitedEvents(
  { calls, runnerEvents }: History,
): LimitedEvent[] {
  const byAttempt = new Map(calls.map((call) => [call.attemptId, call]));
  return runnerEvents.flatMap((event) => {
    const call = byAttempt.get(event.attemptId);
    const { limitPerSecond } = event;
    return call === undefined || limitPerSecond === undefined
      ? []
      : [{ call, event, limitPerSecond }];
  }).sort((left, right) => left.event.atMs - right.event.atMs);
}

/** Finds the first window with too many arrivals at one runner. */
function findExcess(
  events: readonly LimitedEvent[],
  history: History,
): Violation[] {
  const toldAtMs = getToldTimes(events);
  const firstMs = events[0].event.atMs;
  const arrivals = events.filter(({ call, event: { atMs, type } }) =>
    type === "arrived" && atMs > firstMs + contactMs &&
    atMs > (toldAtMs.get(formatProcess(call)) ?? Infinity) + crossingMs &&
    !isDisturbed(call, atMs, history)
  );
  const excess = arrivals.find(({ event, limitPerSecond }) =>
    countWithin(arrivals, event.atMs) >
      tolerance.factor * limitPerSecond * windowMs / 1000 + tolerance.requests
  );
  if (excess === undefined) return [];
  const { call, event, limitPerSecond } = excess;
  const detail = `${countWithin(arrivals, event.atMs)} requests in ` +
    `${windowMs} ms at ${event.runner}, which states ${limitPerSecond} a ` +
    `second: ${formatCall(call)}`;
  return [{ check: "stated-limits", detail }];
}

/** Times at which each gateway process first passed on such an answer. */
function getToldTimes(events: readonly LimitedEvent[]): Map<string, number> {
  const times = new Map<string, number>();
  for (const { call, event } of events) {
    if (event.type !== "finished" || call.outcome.type !== "answered") continue;
    const key = formatProcess(call);
    times.set(key, Math.min(times.get(key) ?? Infinity, call.endedAtMs));
  }
  return times;
}

function countWithin(arrivals: readonly LimitedEvent[], fromMs: number) {
  return arrivals.filter(({ event: { atMs } }) =>
    atMs >= fromMs && atMs < fromMs + windowMs
  ).length;
}

function formatProcess({ gateway, gatewayIncarnation }: CallRecord): string {
  return `${gateway}-${gatewayIncarnation}`;
}

function isDisturbed(
  { gateway }: CallRecord,
  atMs: number,
  { faults }: History,
): boolean {
  const interval = { gateway, fromMs: atMs - contactMs, toMs: atMs };
  return isGatewayDisturbed(faults, interval) ||
    areRunnerLinksCut(faults, interval.fromMs, interval.toMs);
}
