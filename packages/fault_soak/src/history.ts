/** Records of calls, runner events and faults that the checks read. */
import type { FaultSpan } from "./fault_kinds.ts";

/** Kinds of requests that callers send. */
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
  /** The caller received an answer, which may be truncated. */
  | {
    type: "answered";
    status: number;
    body: string;
    isComplete: boolean;
    /** Whether it had neither a length nor chunks. */
    isUnframed?: boolean;
  }
  /** The connection ended without an answer. */
  | { type: "failed"; reason: string }
  /** The caller stopped waiting before its answer was complete. */
  | { type: "silent" }
  /** The caller disconnected. */
  | { type: "left" };

/** A stream that broke off and is taken up. */
export type SoakTakeUp = {
  /** Last event that its caller has. */
  afterEvent: number;
  /** Attempt that brought the first event. */
  firstAttemptId: string;
  /** Versions of the runners whose events the caller has. */
  softwareVersions: readonly string[];
};

/** A request as its caller observed it. */
export type CallRecord = {
  attemptId: string;
  kind: CallKind;
  gateway: number;
  /** Number of restarts of the gateway's process when the request was sent. */
  gatewayIncarnation: number;
  sentAtMs: number;
  /** Time at which its connection was opened; unknown if it never was. */
  connectedAtMs?: number;
  /** Time limit that the request carries. */
  limitMs: number;
  /** Version of the declaration that added the route of kind `added`. */
  version: number;
  endedAtMs: number;
  /** Ids of the parts of its prompt, if it has one. */
  partIds?: readonly string[];
  /** The stream that it takes up, if it does. */
  takeUp?: SoakTakeUp;
  /** Whether it crashes each runner that runs it. */
  crashes?: boolean;
  outcome: CallOutcome;
};

/** Event of an attempt at a runner. */
export type RunnerEvent = {
  /**
   * `cut`: the other end closed the connection; `brokenOff`: the runner did;
   * `crashed`: the runner exited.
   */
  type:
    | "arrived"
    | "ran"
    | "finished"
    | "cut"
    | "brokenOff"
    | "crashed"
    | "refused";
  atMs: number;
  attemptId: string;
  runner: string;
  service: string;
  /** Whether its answer has neither a length nor chunks. */
  isUnframed?: boolean;
  /** Whether the request was meant for another runner, and is refused. */
  isMisdirected?: boolean;
  /** Whether its answer states that the runner is about to leave. */
  isLeaving?: boolean;
  /** Limit that its answer states, in requests a second. */
  limitPerSecond?: number;
  /** Time until which the runner wants no requests, if it refused one so. */
  restsUntilMs?: number;
};

/** A version of the declaration and when the store received it. */
export type DeclaredVersion = { version: number; atMs: number };

/** A runner and when the store listed it as draining. */
export type DrainedRunner = { runner: string; atMs: number };

/** A failure domain and the times at which its evacuation was written and ended. */
export type EvacuatedDomain = {
  domain: string;
  fromMs: number;
  untilMs: number;
};

/** A process of a runner that was cold. */
export type ColdRunner = {
  runner: string;
  /** Place of the runner among all. */
  index: number;
  fromMs: number;
  untilMs: number;
};

/** A runner and when its process was seen to have exited. */
export type RunnerExit = { runner: string; atMs: number };

/** Everything that callers and runners observed in one episode. */
export type History = {
  calls: CallRecord[];
  runnerEvents: RunnerEvent[];
  faults: FaultSpan[];
  declared: DeclaredVersion[];
  drained: DrainedRunner[];
  exits: RunnerExit[];
  evacuated: EvacuatedDomain[];
  cold: ColdRunner[];
  /** Failure domain of each runner that was listed. */
  domains: Map<string, string>;
  /** Time from which all faults are over and every call must be served. */
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
    exits: [],
    evacuated: [],
    cold: [],
    domains: new Map(),
    settledAtMs: Infinity,
  };
}

/** Whether the caller received a complete answer with status 200. */
export function isServed({ outcome }: CallRecord): boolean {
  return outcome.type === "answered" && outcome.status === 200 &&
    outcome.isComplete;
}
