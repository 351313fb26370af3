import type { FaultSpan } from "./faults.ts";

/** Kinds of requests that callers make. */
export const callKinds = [
  "lookup",
  "payout",
  "story",
  "summary",
  "added",
] as const;

/** Kind of a caller's request. */
export type CallKind = (typeof callKinds)[number];

/** How a caller's request ended. */
export type CallOutcome =
  /** An answer, whole or broken off. */
  | { type: "answered"; status: number; body: string; isWhole: boolean }
  /** The connection ended without an answer. */
  | { type: "failed"; reason: string }
  /** Nothing came in time. */
  | { type: "silent" }
  /** The caller went away. */
  | { type: "left" };

/** A caller's request from its own point of view. */
export type CallRecord = {
  attemptId: string;
  kind: CallKind;
  gateway: number;
  /** Start of the gateway's process; changes with each of its lives. */
  gatewayLife: number;
  sentAtMs: number;
  limitMs: number;
  /** Version that added the route, for the kind `added`. */
  version: number;
  endedAtMs: number;
  outcome: CallOutcome;
};

/** What a runner saw of an attempt. */
export type RunnerEvent = {
  /** A run is cut by the other end, or broken off by the runner itself. */
  type: "arrived" | "ran" | "finished" | "cut" | "brokenOff";
  atMs: number;
  attemptId: string;
  runner: string;
  service: string;
};

/** A version of the declaration, when the store had it. */
export type DeclaredVersion = { version: number; atMs: number };

/** A runner of which the store said that it takes nothing new. */
export type DrainedRunner = { runner: string; atMs: number };

/** Everything that callers and runners saw in one episode. */
export type History = {
  calls: CallRecord[];
  runnerEvents: RunnerEvent[];
  faults: FaultSpan[];
  declared: DeclaredVersion[];
  drained: DrainedRunner[];
  /** Time from which nothing was disturbed any more. */
  settledAtMs: number;
};

/** Creates an empty history. */
export function createHistory(): History {
  return {
    calls: [],
    runnerEvents: [],
    faults: [],
    declared: [],
    drained: [],
    settledAtMs: Infinity,
  };
}

/** Whether a caller has the whole answer that it asked for. */
export function isServed({ outcome }: CallRecord): boolean {
  return outcome.type === "answered" && outcome.status === 200 &&
    outcome.isWhole;
}
