import {
  areRunnersDisturbed,
  isGatewayDisturbed,
  isOutOfTouch,
  isUnplannedBetween,
} from "./disturbances.ts";
import {
  type CallRecord,
  type History,
  isServed,
  type RunnerEvent,
} from "./history.ts";
import { createSoakDeclaration } from "./soak_declaration.ts";
import { formatBody, formatStream } from "./soak_runner.ts";

/** Names of the promises that are checked. */
export const checkNames = [
  "whole-answers",
  "at-most-once",
  "true-refusals",
  "attempts",
  "repeats",
  "time-limits",
  "versions",
  "never-back",
  "drained-runners",
  "cancellation",
  "planned-stops",
  "recovery",
] as const;

/** Name of a promise that is checked. */
export type CheckName = (typeof checkNames)[number];

/** A promise that was broken, with what shows it. */
export type Violation = { check: CheckName; detail: string };

/** Statuses that promise that a request has not run and never will. */
const notRunStatuses: readonly number[] = [408, 421, 429, 503];

/** Time beyond its limit in which a request must have its answer. */
const limitSlackMs = 500;

/** Time in which a gateway in touch must follow the store. */
const applyMs = 3000;

/** Time in touch after which a gateway must be able to know everything. */
const touchMs = 4000;

/** Time in which work for a caller that has left must end. */
const cancelMs = 500;

/** Time around a planned stop in which nothing else may have happened. */
const plannedMarginMs = 4000;

/** Budget of repeats that the gateways share. */
export type RepeatLimits = {
  ratio: number;
  slack: number;
  windowSeconds: number;
};

type Found = string | undefined;

/** Checks what callers and runners saw against every promise. */
export function checkHistory(
  history: History,
  limits: RepeatLimits,
): Violation[] {
  const events = groupByAttempt(history.runnerEvents);
  const runsOf = (call: CallRecord) => events.get(call.attemptId) ?? [];
  const checkCalls = (
    check: CheckName,
    find: (call: CallRecord, events: readonly RunnerEvent[]) => Found,
  ): Violation[] =>
    history.calls.flatMap((call) => {
      const found = find(call, runsOf(call));
      if (found === undefined) return [];
      return [{ check, detail: `${found}: ${formatCall(call)}` }];
    });
  return [
    ...checkCalls("whole-answers", findForeignAnswer),
    ...checkCalls("at-most-once", findSecondRun),
    ...checkCalls("true-refusals", findFalseRefusal),
    ...checkCalls("attempts", findExtraAttempt),
    ...checkCalls("time-limits", (call) => findLateEnd(call, history)),
    ...checkCalls("versions", (call) => findOldVersion(call, history)),
    ...checkCalls(
      "drained-runners",
      (call, runs) => findRunAtDrained(call, runs, history),
    ),
    ...checkCalls(
      "cancellation",
      (call, runs) => findLastingRun(call, runs, history),
    ),
    ...checkCalls(
      "planned-stops",
      (call, runs) => findPlannedLoss(call, runs, history),
    ),
    ...checkCalls(
      "recovery",
      (call, runs) => findLaterFailure(call, runs, history),
    ),
    ...findReturns(history),
    ...findExcessRepeats(history, limits),
  ];
}

function groupByAttempt(
  events: readonly RunnerEvent[],
): Map<string, RunnerEvent[]> {
  const groups = new Map<string, RunnerEvent[]>();
  for (const event of events) {
    const group = groups.get(event.attemptId);
    if (group === undefined) groups.set(event.attemptId, [event]);
    else group.push(event);
  }
  return groups;
}

function formatCall(call: CallRecord): string {
  const { attemptId, gateway, kind, outcome, sentAtMs, endedAtMs } = call;
  const end = outcome.type === "answered"
    ? `${outcome.status}${outcome.isWhole ? "" : " broken off"}`
    : outcome.type;
  return `${kind} ${attemptId} at gateway ${gateway}, sent ${sentAtMs}, ` +
    `${end} after ${endedAtMs - sentAtMs} ms`;
}

function isStream({ kind }: CallRecord): boolean {
  return kind === "story" || kind === "summary";
}

/** A whole answer is the caller's own; one that breaks off begins like it. */
function findForeignAnswer(call: CallRecord): Found {
  const { attemptId, outcome } = call;
  if (outcome.type !== "answered" || outcome.status !== 200) return undefined;
  const expected = isStream(call)
    ? formatStream(attemptId)
    : formatBody(attemptId);
  if (outcome.isWhole) {
    return outcome.body === expected ? undefined : "another answer, or a part";
  }
  return expected.startsWith(outcome.body) ? undefined : "a mixed answer";
}

function count(events: readonly RunnerEvent[], type: RunnerEvent["type"]) {
  return events.filter((event) => event.type === type).length;
}

function findSecondRun(
  call: CallRecord,
  events: readonly RunnerEvent[],
): Found {
  const runs = count(events, "ran");
  return call.kind === "payout" && runs > 1 ? `${runs} runs` : undefined;
}

function findFalseRefusal(
  { kind, outcome }: CallRecord,
  events: readonly RunnerEvent[],
): Found {
  if (kind !== "payout" || outcome.type !== "answered") return undefined;
  const isRefused = notRunStatuses.includes(outcome.status);
  return isRefused && count(events, "ran") > 0
    ? `status ${outcome.status} for what has run`
    : undefined;
}

function findExtraAttempt(
  { kind }: CallRecord,
  events: readonly RunnerEvent[],
): Found {
  // That a payout runs once at most is a check of its own.
  if (kind === "payout") return undefined;
  const route = createSoakDeclaration(1).routes.find(({ name }) =>
    name.startsWith(kind)
  );
  const runs = count(events, "ran");
  const limit = route?.maxAttempts ?? 0;
  return runs > limit ? `${runs} runs, ${limit} allowed` : undefined;
}

function findLateEnd(call: CallRecord, { faults }: History): Found {
  const { endedAtMs, gateway, limitMs, outcome, sentAtMs } = call;
  const isLate = outcome.type === "silent" ||
    endedAtMs - sentAtMs > limitMs + limitSlackMs;
  if (!isLate) return undefined;
  const stretch = { gateway, fromMs: sentAtMs, toMs: endedAtMs };
  return isGatewayDisturbed(faults, stretch) ? undefined : "no answer in time";
}

function isUnknownRoute({ outcome }: CallRecord): boolean {
  return outcome.type === "answered" && outcome.status === 404;
}

function findOldVersion(
  call: CallRecord,
  { declared, faults }: History,
): Found {
  if (!isUnknownRoute(call)) return undefined;
  const { gateway, sentAtMs, version } = call;
  const since = declared.find((each) => each.version === version)?.atMs;
  if (since === undefined || sentAtMs < since + applyMs) return undefined;
  const stretch = { gateway, fromMs: sentAtMs - touchMs, toMs: sentAtMs };
  return isOutOfTouch(faults, stretch)
    ? undefined
    : `version ${version} is not known`;
}

function findRunAtDrained(
  { gateway }: CallRecord,
  events: readonly RunnerEvent[],
  { drained, faults }: History,
): Found {
  const late = events.find(({ atMs, runner, type }) =>
    type === "ran" &&
    drained.some((each) => each.runner === runner && atMs > each.atMs + applyMs)
  );
  if (late === undefined) return undefined;
  const { atMs, runner } = late;
  const stretch = { gateway, fromMs: atMs - touchMs, toMs: atMs };
  return isOutOfTouch(faults, stretch) ? undefined : `run at leaving ${runner}`;
}

function findLastingRun(
  { endedAtMs, gateway, outcome }: CallRecord,
  events: readonly RunnerEvent[],
  { faults }: History,
): Found {
  if (outcome.type !== "left") return undefined;
  const lasting = events.find(({ atMs, type }) =>
    (type === "finished" || type === "arrived") && atMs > endedAtMs + cancelMs
  );
  if (lasting === undefined) return undefined;
  const fromMs = endedAtMs - cancelMs;
  const toMs = lasting.atMs;
  const isExcused = isGatewayDisturbed(faults, { gateway, fromMs, toMs }) ||
    areRunnersDisturbed(faults, fromMs, toMs);
  const afterMs = lasting.atMs - endedAtMs;
  return isExcused ? undefined : `${lasting.type} ${afterMs} ms after leaving`;
}

function findPlannedLoss(
  call: CallRecord,
  events: readonly RunnerEvent[],
  { faults }: History,
): Found {
  const { endedAtMs, gateway, outcome, sentAtMs } = call;
  if (isServed(call) || outcome.type === "left") return undefined;
  const isAnswered = outcome.type === "answered" && outcome.isWhole;
  if (isAnswered || count(events, "brokenOff") > 0) return undefined;
  const stop = faults.find(({ endMs, kind, startMs, target }) =>
    kind === "gateway-stopped" && target === gateway &&
    startMs <= endedAtMs && endMs >= sentAtMs
  );
  if (stop === undefined) return undefined;
  // What came after the signal may have met a closed connection unread.
  const wasTaken = sentAtMs < stop.startMs || count(events, "arrived") > 0;
  const fromMs = sentAtMs - plannedMarginMs;
  const isExcused = isUnplannedBetween(faults, fromMs, endedAtMs);
  return wasTaken && !isExcused ? "lost by a planned stop" : undefined;
}

function findLaterFailure(
  call: CallRecord,
  events: readonly RunnerEvent[],
  { settledAtMs }: History,
): Found {
  if (call.sentAtMs < settledAtMs || isServed(call)) return undefined;
  const isExcused = call.outcome.type === "left" ||
    count(events, "brokenOff") > 0;
  return isExcused ? undefined : "not served long after the last fault";
}

/** Finds processes that knew a route and then no longer did. */
function findReturns({ calls }: History): Violation[] {
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
function findExcessRepeats(
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
