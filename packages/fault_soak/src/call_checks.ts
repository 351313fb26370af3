/** Checks of single calls; each returns a description of a violation, if any. */
import { removeVersions } from "./software_versions.ts";
import {
  areRunnersDisturbed,
  isCallerLinkDisturbed,
  isConnectionSilenced,
  isGatewayDisturbed,
  isGatewayKilled,
  isStoreAccessDisturbed,
  isUnplannedBetween,
} from "./disturbances.ts";
import {
  type CallRecord,
  type History,
  isServed,
  type RunnerEvent,
  type RunnerExit,
} from "./history.ts";
import { createSoakDeclaration } from "./soak_declaration.ts";
import { formatBody, formatStream } from "./scripted_answers.ts";

/** Description of a violation by a call, if any. */
export type Finding = string | undefined;

/** Statuses that guarantee that a request has not run and will not run. */
const notRunStatuses: readonly number[] = [408, 421, 429, 503];

/** Time after its limit by which a request must be answered. */
const limitSlackMs = 500;

/** Time within which a connected gateway must apply a change in the store. */
const applyMs = 3000;

/** Undisturbed time after which a gateway must have the store's current state. */
const syncMs = 4000;

/** Time within which work for a disconnected caller must end. */
const cancelMs = 500;

/** Time before a lost call in which an unplanned fault excuses the loss. */
const plannedMarginMs = 4000;

/** One route of each kind; later versions add routes of kind `added`. */
const { routes } = createSoakDeclaration(1);

/** Whether a call is answered by a stream. */
export function isStream({ kind }: CallRecord): boolean {
  return kind === "story" || kind === "summary";
}

/**
 * Finds a complete answer that differs from the expected one, or a truncated
 * answer that is not a prefix of it. An unframed answer that a killed gateway or
 * an exited runner truncated ends like a complete one.
 */
export function findForeignAnswer(
  call: CallRecord,
  events: readonly RunnerEvent[],
  { exits, faults }: History,
): Finding {
  const { attemptId, endedAtMs, gateway, outcome, sentAtMs } = call;
  if (outcome.type !== "answered" || outcome.status !== 200) return undefined;
  const body = removeVersions(outcome.body);
  const expected = isStream(call)
    ? removeVersions(formatStream(attemptId, call.takeUp?.afterEvent))
    : formatBody(attemptId);
  const interval = { gateway, fromMs: sentAtMs, toMs: endedAtMs };
  const mayLookComplete =
    (outcome.isUnframed === true && isGatewayKilled(faults, interval)) ||
    events.some((event) =>
      event.isUnframed === true && hasExitedDuring(event, { call, exits })
    );
  if (outcome.isComplete && !mayLookComplete) {
    return body === expected ? undefined : "wrong or incomplete answer";
  }
  return expected.startsWith(body)
    ? undefined
    : "cut answer has foreign content";
}

function count(events: readonly RunnerEvent[], type: RunnerEvent["type"]) {
  return events.filter((event) => event.type === type).length;
}

/** Finds a non-idempotent request that ran more than once. */
export function findDuplicateRun(
  call: CallRecord,
  events: readonly RunnerEvent[],
): Finding {
  const runs = count(events, "ran");
  return call.kind === "payout" && runs > 1 ? `${runs} runs` : undefined;
}

/** Finds a request that ran although it was refused as not run. */
export function findFalseRefusal(
  { kind, outcome }: CallRecord,
  events: readonly RunnerEvent[],
): Finding {
  if (kind !== "payout" || outcome.type !== "answered") return undefined;
  const isRefused = notRunStatuses.includes(outcome.status);
  return isRefused && count(events, "ran") > 0
    ? `status ${outcome.status} although it ran`
    : undefined;
}

/** Finds a request with more runs than its route allows attempts. */
export function findExtraAttempt(
  { kind }: CallRecord,
  events: readonly RunnerEvent[],
): Finding {
  // The check `at-most-once` covers payouts.
  if (kind === "payout") return undefined;
  const route = routes.find(({ name }) => name.startsWith(kind));
  const runs = count(events, "ran");
  const limit = route?.maxAttempts ?? 0;
  return runs > limit ? `${runs} runs, ${limit} allowed` : undefined;
}

/** Finds a request that is not answered soon after its time limit. */
export function findLateEnd(call: CallRecord, { faults }: History): Finding {
  const { endedAtMs, gateway, limitMs, outcome, sentAtMs } = call;
  const connection = {
    gateway,
    fromMs: call.connectedAtMs ?? sentAtMs,
    toMs: endedAtMs,
  };
  const isLate = outcome.type === "silent" ||
    endedAtMs - sentAtMs > limitMs + limitSlackMs;
  if (!isLate) return undefined;
  const interval = { gateway, fromMs: sentAtMs, toMs: endedAtMs };
  const isExcused = isGatewayDisturbed(faults, interval) ||
    isConnectionSilenced(faults, connection);
  return isExcused ? undefined : "no answer in time";
}

/** Time by which the exit of a runner may be seen after its effects. */
const exitSlackMs = 500;

/** Whether the runner of an event exited while a call was under way. */
export function hasExitedDuring(
  { runner }: RunnerEvent,
  { call, exits }: { call: CallRecord; exits: readonly RunnerExit[] },
): boolean {
  return exits.some((exit) =>
    exit.runner === runner && exit.atMs >= call.sentAtMs &&
    exit.atMs <= call.endedAtMs + exitSlackMs
  );
}

/** Whether a gateway had no route for a call. */
export function isUnknownRoute({ outcome }: CallRecord): boolean {
  return outcome.type === "answered" && outcome.status === 404;
}

/** Finds a connected gateway that has not applied a new version in time. */
export function findStaleVersion(
  call: CallRecord,
  { declared, faults }: History,
): Finding {
  if (!isUnknownRoute(call)) return undefined;
  const { gateway, sentAtMs, version } = call;
  const since = declared.find((each) => each.version === version)?.atMs;
  if (since === undefined || sentAtMs < since + applyMs) return undefined;
  const interval = { gateway, fromMs: sentAtMs - syncMs, toMs: sentAtMs };
  return isStoreAccessDisturbed(faults, interval)
    ? undefined
    : `version ${version} is not applied`;
}

/** Finds new work that a connected gateway sent to a draining runner. */
export function findRunAtDrainedRunner(
  { gateway }: CallRecord,
  events: readonly RunnerEvent[],
  { drained, faults }: History,
): Finding {
  const late = events.find(({ atMs, runner, type }) =>
    type === "ran" &&
    drained.some((each) => each.runner === runner && atMs > each.atMs + applyMs)
  );
  if (late === undefined) return undefined;
  const { atMs, runner } = late;
  const interval = { gateway, fromMs: atMs - syncMs, toMs: atMs };
  return isStoreAccessDisturbed(faults, interval)
    ? undefined
    : `run at draining ${runner}`;
}

/** Finds work that continues long after its caller disconnected. */
export function findUncancelledRun(
  { endedAtMs, gateway, outcome }: CallRecord,
  events: readonly RunnerEvent[],
  { faults }: History,
): Finding {
  if (outcome.type !== "left") return undefined;
  const lateEvent = events.find(({ atMs, type }) =>
    (type === "finished" || type === "arrived") && atMs > endedAtMs + cancelMs
  );
  if (lateEvent === undefined) return undefined;
  const fromMs = endedAtMs - cancelMs;
  const toMs = lateEvent.atMs;
  const isExcused = isGatewayDisturbed(faults, { gateway, fromMs, toMs }) ||
    areRunnersDisturbed(faults, fromMs, toMs);
  const afterMs = lateEvent.atMs - endedAtMs;
  return isExcused
    ? undefined
    : `${lateEvent.type} ${afterMs} ms after the caller disconnected`;
}

/**
 * Finds a request that reaches a runner long after its caller disconnected. A
 * gateway that was paused reads that its caller has left before it goes on.
 */
export function findWorkBegunLate(
  { endedAtMs, gateway, outcome }: CallRecord,
  events: readonly RunnerEvent[],
  { faults }: History,
): Finding {
  if (outcome.type !== "left") return undefined;
  const late = events.find(({ atMs, type }) =>
    type === "arrived" && atMs > endedAtMs + cancelMs
  );
  if (late === undefined) return undefined;
  const interval = { gateway, fromMs: endedAtMs - cancelMs, toMs: late.atMs };
  const isExcused = isCallerLinkDisturbed(faults, interval) ||
    areRunnersDisturbed(faults, interval.fromMs, interval.toMs);
  const afterMs = late.atMs - endedAtMs;
  return isExcused
    ? undefined
    : `begun ${afterMs} ms after the caller disconnected`;
}

/** Finds an accepted request that was lost in a planned stop. */
export function findPlannedStopLoss(
  call: CallRecord,
  events: readonly RunnerEvent[],
  { faults }: History,
): Finding {
  const { endedAtMs, gateway, outcome, sentAtMs } = call;
  if (isServed(call) || outcome.type === "left") return undefined;
  const isAnswered = outcome.type === "answered" && outcome.isComplete;
  if (isAnswered || count(events, "brokenOff") > 0) return undefined;
  const stop = faults.find(({ endMs, kind, startMs, target }) =>
    kind === "gateway-stopped" && target === gateway &&
    startMs <= endedAtMs && endMs >= sentAtMs
  );
  if (stop === undefined) return undefined;
  // A request sent after the signal may be lost unread on a closed connection.
  const wasAccepted = sentAtMs < stop.startMs || count(events, "arrived") > 0;
  const fromMs = sentAtMs - plannedMarginMs;
  const isExcused = isUnplannedBetween(faults, fromMs, endedAtMs);
  return wasAccepted && !isExcused ? "lost in a planned stop" : undefined;
}

/** Finds a call that is not served after all faults are over. */
export function findUnrecoveredCall(
  call: CallRecord,
  events: readonly RunnerEvent[],
  { settledAtMs }: History,
): Finding {
  if (call.sentAtMs < settledAtMs || isServed(call)) return undefined;
  const isExcused = call.outcome.type === "left" ||
    count(events, "brokenOff") > 0;
  return isExcused ? undefined : "not served long after the last fault";
}
