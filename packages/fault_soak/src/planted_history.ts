/** Histories that the tests of the checks plant violations in. */
import {
  type CallKind,
  type CallOutcome,
  type CallRecord,
  formatBody,
  formatEvent,
  formatStream,
  type History,
  type RunEnd,
  type RunnerEvent,
} from "./mod.ts";

/** History with planted violations. */
export type World = { history: History };

/** Retry budget that the checks assume. */
export const limits = { ratio: 0.2, slack: 10, windowSeconds: 10 };

/** Time of the first call; the others follow within seconds. */
export const startMs = 1_000_000;

/** Time of the calls that violate a guarantee. */
export const violationMs = startMs + 60_000;

let callCount = 0;

function createAnswer(kind: CallKind, attemptId: string): CallOutcome {
  const isStream = kind === "story" || kind === "summary";
  const body = isStream ? formatStream(attemptId) : formatBody(attemptId);
  return { type: "answered", status: 200, body, isComplete: true };
}

/** Adds a served call; `overrides` replaces its default values. */
export function addCall(
  { history }: World,
  kind: CallKind,
  overrides: Partial<CallRecord> = {},
): CallRecord {
  callCount += 1;
  const attemptId = overrides.attemptId ?? `attempt-${callCount}`;
  const sentAtMs = overrides.sentAtMs ?? violationMs;
  const call: CallRecord = {
    attemptId,
    kind,
    gateway: 0,
    gatewayIncarnation: 0,
    sentAtMs,
    limitMs: 1500,
    version: 1,
    endedAtMs: sentAtMs + 50,
    outcome: createAnswer(kind, attemptId),
    ...overrides,
  };
  history.calls.push(call);
  return call;
}

/** Adds a run that finishes by default; `run` replaces its default values. */
export function addRun(
  { history }: World,
  call: CallRecord,
  run: Partial<RunnerEvent> & { endedAtMs?: number; end?: RunEnd } = {},
): void {
  const { attemptId, kind, sentAtMs } = call;
  const { end = "finished", endedAtMs = sentAtMs + 40, ...overrides } = run;
  const isStream = kind === "story" || kind === "summary";
  const event = {
    atMs: sentAtMs + 5,
    attemptId,
    runner: "runner-0-0",
    service: isStream ? "engine" : "desk",
    ...overrides,
  };
  history.runnerEvents.push(
    { ...event, type: "arrived" },
    { ...event, type: "ran" },
    { ...event, type: end, atMs: endedAtMs },
  );
}

/** Gets the body that the caller received. */
export function getBody({ outcome }: CallRecord): string {
  return outcome.type === "answered" ? outcome.body : "";
}

/** Adds a call with a complete answer of the given body. */
export function addAnswered(world: World, kind: CallKind, body: string) {
  const outcome = { type: "answered", status: 200, body, isComplete: true };
  return addCall(world, kind, { outcome: outcome as CallOutcome });
}

/** Adds a call to a route that its gateway does not know. */
export function addUnknown(world: World, sentAtMs: number): void {
  const outcome = { type: "answered", status: 404, body: "", isComplete: true };
  addCall(world, "added", { sentAtMs, outcome: outcome as CallOutcome });
}

/** Outcome of a call whose connection was closed without an answer. */
export const failed: CallOutcome = {
  type: "failed",
  reason: "socket hang up",
};

/** Outcome of a call whose stream ends after its second event. */
export function createTruncated(attemptId: string): CallOutcome {
  const body = formatEvent(attemptId, 1) + formatEvent(attemptId, 2);
  return { type: "answered", status: 200, body, isComplete: false };
}
