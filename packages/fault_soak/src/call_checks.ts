/** Checks of single calls; each gives what is wrong, if anything. */
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

/** What is wrong with a call. */
export type Found = string | undefined;

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

/** A route of each kind; later versions add more of the last. */
const { routes } = createSoakDeclaration(1);

/** Whether a call is answered by a stream. */
export function isStream({ kind }: CallRecord): boolean {
  return kind === "story" || kind === "summary";
}

/** A whole answer is the caller's own; one that breaks off begins like it. */
export function findForeignAnswer(call: CallRecord): Found {
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

/** What is not idempotent runs once at most. */
export function findSecondRun(
  call: CallRecord,
  events: readonly RunnerEvent[],
): Found {
  const runs = count(events, "ran");
  return call.kind === "payout" && runs > 1 ? `${runs} runs` : undefined;
}

/** What was refused as not run has not run. */
export function findFalseRefusal(
  { kind, outcome }: CallRecord,
  events: readonly RunnerEvent[],
): Found {
  if (kind !== "payout" || outcome.type !== "answered") return undefined;
  const isRefused = notRunStatuses.includes(outcome.status);
  return isRefused && count(events, "ran") > 0
    ? `status ${outcome.status} for what has run`
    : undefined;
}

/** A request runs at no more runners than its route allows. */
export function findExtraAttempt(
  { kind }: CallRecord,
  events: readonly RunnerEvent[],
): Found {
  // That a payout runs once at most is a check of its own.
  if (kind === "payout") return undefined;
  const route = routes.find(({ name }) => name.startsWith(kind));
  const runs = count(events, "ran");
  const limit = route?.maxAttempts ?? 0;
  return runs > limit ? `${runs} runs, ${limit} allowed` : undefined;
}

/** A request has its answer soon after its time limit. */
export function findLateEnd(call: CallRecord, { faults }: History): Found {
  const { endedAtMs, gateway, limitMs, outcome, sentAtMs } = call;
  const isLate = outcome.type === "silent" ||
    endedAtMs - sentAtMs > limitMs + limitSlackMs;
  if (!isLate) return undefined;
  const stretch = { gateway, fromMs: sentAtMs, toMs: endedAtMs };
  return isGatewayDisturbed(faults, stretch) ? undefined : "no answer in time";
}

/** Whether a gateway did not know the route of a call. */
export function isUnknownRoute({ outcome }: CallRecord): boolean {
  return outcome.type === "answered" && outcome.status === 404;
}

/** A gateway in touch follows the store in time. */
export function findOldVersion(
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

/** A leaving runner gets no new work from gateways in touch. */
export function findRunAtDrained(
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

/** Work for a caller that has left ends soon. */
export function findLastingRun(
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

/** A planned stop loses no request that was taken. */
export function findPlannedLoss(
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

/** Everything is served again once all faults are over. */
export function findLaterFailure(
  call: CallRecord,
  events: readonly RunnerEvent[],
  { settledAtMs }: History,
): Found {
  if (call.sentAtMs < settledAtMs || isServed(call)) return undefined;
  const isExcused = call.outcome.type === "left" ||
    count(events, "brokenOff") > 0;
  return isExcused ? undefined : "not served long after the last fault";
}
