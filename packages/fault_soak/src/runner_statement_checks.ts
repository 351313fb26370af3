/**
 * Checks that gateways respect what runners state in their answers: that they
 * are about to leave, or that they want no requests for some time.
 */
import { isGatewayDisturbed } from "./disturbances.ts";
import type { CallRecord, History, RunnerEvent } from "./history.ts";
import { formatCall, type Violation } from "./violation.ts";

/** Time after a gateway passed on an answer in which new requests may follow. */
const leavingMs = 3000;

/** Time in which a refusal may cross requests that are on their way. */
const crossingMs = 500;

/** Requests that may reach a resting runner from one gateway. */
const maxAtRest = 2;

type Arrival = { call: CallRecord; event: RunnerEvent };

/** Finds requests sent to a runner that has stated that it is leaving. */
export function findLateArrivals(history: History): Violation[] {
  const arrivals = listArrivals(history);
  const toldAtMs = new Map<string, number>();
  for (const { call, event } of arrivals) {
    const isPassedOn = event.isLeaving === true &&
      call.outcome.type === "answered" && call.outcome.status < 500;
    if (!isPassedOn) continue;
    const key = formatPair(call, event);
    const known = toldAtMs.get(key) ?? Infinity;
    toldAtMs.set(key, Math.min(known, call.endedAtMs));
  }
  const late = arrivals.find(({ call, event }) => {
    const told = toldAtMs.get(formatPair(call, event)) ?? Infinity;
    return call.sentAtMs > told + leavingMs &&
      !isDisturbed(history, { call, event }, told);
  });
  if (late === undefined) return [];
  const detail = `arrived at leaving ${late.event.runner}: ` +
    formatCall(late.call);
  return [{ check: "announced-leaving", detail }];
}

/** Finds runners that got requests in a time in which they wanted none. */
export function findRequestsAtRest(history: History): Violation[] {
  const calls = new Map(history.calls.map((call) => [call.attemptId, call]));
  const arrivals = listArrivals(history);
  return history.runnerEvents.flatMap((refusal) => {
    const call = calls.get(refusal.attemptId);
    const untilMs = refusal.restsUntilMs;
    if (call === undefined || untilMs === undefined) return [];
    const pair = formatPair(call, refusal);
    const during = arrivals.filter((arrival) =>
      formatPair(arrival.call, arrival.event) === pair &&
      arrival.event.atMs > refusal.atMs + crossingMs &&
      arrival.event.atMs < untilMs
    );
    const isExcused = during.some((arrival) =>
      isDisturbed(history, arrival, refusal.atMs)
    );
    if (during.length <= maxAtRest || isExcused) return [];
    const detail = `${during.length} requests at resting ${refusal.runner}: ` +
      formatCall(call);
    return [{ check: "resting-runners" as const, detail }];
  }).slice(0, 1);
}

function listArrivals({ calls, runnerEvents }: History): Arrival[] {
  const byAttempt = new Map(calls.map((call) => [call.attemptId, call]));
  return runnerEvents
    .filter(({ type }) => type === "arrived")
    .flatMap((event) => {
      const call = byAttempt.get(event.attemptId);
      return call === undefined ? [] : [{ call, event }];
    });
}

/** One process of a gateway and one of a runner. */
function formatPair(call: CallRecord, { runner }: RunnerEvent): string {
  return `${call.gateway}-${call.gatewayIncarnation} ${runner}`;
}

/** Whether the gateway or its link to runners was disturbed since a time. */
function isDisturbed(
  { faults }: History,
  { call, event }: Arrival,
  fromMs: number,
): boolean {
  const interval = { gateway: call.gateway, fromMs, toMs: event.atMs };
  const isCut = faults.some(({ endMs, kind, startMs }) =>
    kind.startsWith("runner-link-") && startMs <= event.atMs && endMs >= fromMs
  );
  return isCut || isGatewayDisturbed(faults, interval);
}
