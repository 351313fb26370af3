/**
 * Checks that gateways stop sending requests that crash runners, as a whole or
 * by a part of their prompts, and serve the other requests of the same callers
 * again.
 */
import { isStream } from "./call_checks.ts";
import {
  isGatewayDisturbed,
  isPeerLinkDisturbed,
  isUnplannedBetween,
} from "./disturbances.ts";
import type { FaultSpan } from "./fault_kinds.ts";
import {
  type CallRecord,
  type History,
  isServed,
  type RunnerEvent,
} from "./history.ts";
import { hasCrashingPart } from "./prompts.ts";
import { type CheckName, formatCall, type Violation } from "./violation.ts";

/** Requests that crash runners, and what is promised about them. */
type CrashingKind = {
  check: CheckName;
  isCrashing: (call: CallRecord) => boolean;
  /** Crashes after which such requests must not reach runners any more. */
  crashLimit: number;
};

/** Requests with a part of their prompts that crashes runners. */
const crashingParts: CrashingKind = {
  check: "crashing-parts",
  isCrashing: ({ partIds }) => hasCrashingPart(partIds),
  crashLimit: 5,
};

/** One request that comes again and again. */
const crashingRequests: CrashingKind = {
  check: "crashing-requests",
  isCrashing: ({ crashes }) => crashes === true,
  crashLimit: 3,
};

/** Time within which all connected gateways must know of a crash. */
const contactMs = 3000;

/** Requests with the part that may reach runners in total afterwards. */
const maxLateArrivals = 3;

/** Undisturbed time after which a gateway must know what the others know. */
const syncMs = 4000;

/** Sound calls needed before and after the crashes to compare them. */
const minimumSample = 20;

/** A call that crashes runners, and an event of it at a runner. */
type CrashingEvent = { call: CallRecord; event: RunnerEvent };

/** Finds requests that reach runners although they are known to crash them. */
export function findRepeatedCrashes(history: History): Violation[] {
  return [crashingParts, crashingRequests].flatMap((kind) =>
    findLateArrivals(kind, history)
  );
}

function findLateArrivals(kind: CrashingKind, history: History): Violation[] {
  const { check, crashLimit } = kind;
  const events = listCrashingEvents(kind, history);
  const crashes = events.filter((each) => isKnownCrash(each, history));
  const late = events.filter((arrival) =>
    arrival.event.type === "arrived" &&
    isLate(arrival, { crashes, crashLimit, history })
  );
  if (late.length <= maxLateArrivals) return [];
  const detail = `${late.length} requests under which ${crashLimit} runners ` +
    `had exited reached runners: ${formatCall(late[0].call)}`;
  return [{ check, detail }];
}

function listCrashingEvents(
  { isCrashing }: CrashingKind,
  { calls, runnerEvents }: History,
): CrashingEvent[] {
  const crashing = new Map(
    calls.filter(isCrashing).map((call) => [call.attemptId, call]),
  );
  return runnerEvents.flatMap((event) => {
    const call = crashing.get(event.attemptId);
    return call === undefined ? [] : [{ call, event }];
  }).sort((left, right) => left.event.atMs - right.event.atMs);
}

/** Whether a gateway saw a crash and could tell the others of it. */
function isKnownCrash(
  { call: { gateway }, event: { atMs, type } }: CrashingEvent,
  { faults }: History,
): boolean {
  const interval = { gateway, fromMs: atMs, toMs: atMs + contactMs };
  return type === "crashed" && !isGatewayDisturbed(faults, interval);
}

/** Crashes that the gateways could tell each other of. */
type KnownCrashes = {
  crashes: readonly CrashingEvent[];
  /** Crashes after which all must know that the requests crash runners. */
  crashLimit: number;
  history: History;
};

function isLate(
  { call: { gateway }, event: { atMs } }: CrashingEvent,
  { crashes, crashLimit, history: { faults } }: KnownCrashes,
): boolean {
  const forgottenAtMs = getForgottenMs(faults, atMs);
  const known = crashes.filter(({ event }) => event.atMs > forgottenAtMs);
  const limitAtMs = known.at(crashLimit - 1)?.event.atMs ?? Infinity;
  const interval = { gateway, fromMs: atMs - syncMs, toMs: atMs };
  return atMs > limitAtMs + contactMs &&
    !isGatewayDisturbed(faults, interval) &&
    !isPeerLinkDisturbed(faults, interval);
}

/** Gets the time at which all gateways last forgot what crashes runners. */
function getForgottenMs(faults: readonly FaultSpan[], untilMs: number): number {
  return Math.max(
    0,
    ...faults.filter(({ kind, startMs }) =>
      kind === "all-killed" && startMs <= untilMs
    ).map(({ startMs }) => startMs),
  );
}

/** Finds a time in which sound requests suffer from those that crash runners. */
export function findStarvedRequests(history: History): Violation[] {
  return history.faults
    .filter(({ kind }) => kind === "prompt-crashing")
    .flatMap((span) => {
      const before = getFirstServedShare(history, {
        fromMs: 0,
        toMs: span.startMs,
      });
      const after = getFirstServedShare(
        history,
        getAfterCrashes(span, history),
      );
      if (before === undefined || after === undefined) return [];
      if (after >= before / 2) return [];
      const detail = `${formatShare(after)} of the sound requests served at ` +
        `first attempt while others crash runners, ${
          formatShare(before)
        } before`;
      return [{ check: "sound-requests" as const, detail }];
    });
}

type Interval = { fromMs: number; toMs: number };

/** Gets the time from when the crashes are known to the last such request. */
function getAfterCrashes(span: FaultSpan, history: History): Interval {
  // Gateways that were all killed have to learn again.
  const learnFromMs = Math.max(
    span.startMs,
    getForgottenMs(history.faults, span.endMs),
  );
  const events = listCrashingEvents(crashingParts, history).filter((
    { event },
  ) => event.atMs >= learnFromMs && event.atMs <= span.endMs);
  const crashes = events.filter(({ event }) => event.type === "crashed");
  const last = crashes.at(crashingParts.crashLimit - 1) ?? crashes.at(-1);
  const sentAtMs = history.calls
    .filter(({ partIds }) => hasCrashingPart(partIds))
    .map((call) => call.sentAtMs);
  return {
    fromMs: (last?.event.atMs ?? learnFromMs) + 2 * contactMs,
    toMs: Math.max(0, ...sentAtMs),
  };
}

/**
 * Gets the share of the sound stream calls of an interval that are served at
 * their first attempt, outside other faults; undefined if there are too few.
 */
function getFirstServedShare(
  { calls, faults, runnerEvents }: History,
  { fromMs, toMs }: Interval,
): number | undefined {
  const others = faults.filter(({ kind }) => kind !== "prompt-crashing");
  const arrivals = new Map<string, number>();
  for (const { attemptId, type } of runnerEvents) {
    if (type !== "arrived") continue;
    arrivals.set(attemptId, (arrivals.get(attemptId) ?? 0) + 1);
  }
  const sound = calls.filter((call) =>
    isStream(call) && !hasCrashingPart(call.partIds) &&
    call.crashes !== true &&
    call.outcome.type !== "left" &&
    call.sentAtMs >= fromMs && call.sentAtMs <= toMs &&
    !isUnplannedBetween(others, call.sentAtMs - contactMs, call.endedAtMs) &&
    !isPeerLinkDisturbed(faults, {
      gateway: call.gateway,
      fromMs: call.sentAtMs - syncMs,
      toMs: call.endedAtMs,
    })
  );
  if (sound.length < minimumSample) return undefined;
  const first = sound.filter((call) =>
    isServed(call) && arrivals.get(call.attemptId) === 1
  );
  return first.length / sound.length;
}

function formatShare(share: number): string {
  return `${(share * 100).toFixed(0)} %`;
}
