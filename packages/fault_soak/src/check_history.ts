import {
  findExtraAttempt,
  findFalseRefusal,
  findForeignAnswer,
  findLastingRun,
  findLateEnd,
  findLaterFailure,
  findOldVersion,
  findPlannedLoss,
  findRunAtDrained,
  findSecondRun,
  type Found,
} from "./call_checks.ts";
import {
  findExcessRepeats,
  findReturns,
  type RepeatLimits,
} from "./fleet_checks.ts";
import type { CallRecord, History, RunnerEvent } from "./history.ts";
import { type CheckName, formatCall, type Violation } from "./violation.ts";

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
