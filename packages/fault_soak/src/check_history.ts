/** Runs all checks of the fault soak on the history of an episode. */
import {
  findDuplicateRun,
  findExtraAttempt,
  findFalseRefusal,
  findForeignAnswer,
  type Finding,
  findLateEnd,
  findPlannedStopLoss,
  findRunAtDrainedRunner,
  findStaleVersion,
  findUncancelledRun,
  findUnrecoveredCall,
  findWorkBegunLate,
} from "./call_checks.ts";
import { findLostAnswer } from "./lost_answers.ts";
import { findRepeatedCrashes, findStarvedRequests } from "./crash_checks.ts";
import {
  findLateArrivals,
  findRequestsAtRest,
} from "./runner_statement_checks.ts";
import {
  findExcessRetries,
  findVersionRollbacks,
  type RetryBudgetLimits,
} from "./fleet_checks.ts";
import { findJoinedVersions } from "./software_versions.ts";
import { findColdExcess, findEvacuatedArrivals } from "./domain_checks.ts";
import { findExcessRequests } from "./limit_checks.ts";
import type { CallRecord, History, RunnerEvent } from "./history.ts";
import { type CheckName, formatCall, type Violation } from "./violation.ts";

/** Checks the history of an episode against every guarantee. */
export function checkHistory(
  history: History,
  limits: RetryBudgetLimits,
): Violation[] {
  const eventsByAttempt = groupByAttempt(history.runnerEvents);
  const eventsOf = (call: CallRecord) =>
    eventsByAttempt.get(call.attemptId) ?? [];
  const checkCalls = (
    check: CheckName,
    findViolation: (
      call: CallRecord,
      events: readonly RunnerEvent[],
    ) => Finding,
  ): Violation[] =>
    history.calls.flatMap((call) => {
      const finding = findViolation(call, eventsOf(call));
      if (finding === undefined) return [];
      return [{ check, detail: `${finding}: ${formatCall(call)}` }];
    });
  return [
    ...checkCalls(
      "whole-answers",
      (call, events) => findForeignAnswer(call, events, history),
    ),
    ...checkCalls("software-versions", findJoinedVersions),
    ...checkCalls("at-most-once", findDuplicateRun),
    ...checkCalls("true-refusals", findFalseRefusal),
    ...checkCalls("attempts", findExtraAttempt),
    ...checkCalls("time-limits", (call) => findLateEnd(call, history)),
    ...checkCalls("versions", (call) => findStaleVersion(call, history)),
    ...checkCalls(
      "drained-runners",
      (call, events) => findRunAtDrainedRunner(call, events, history),
    ),
    ...checkCalls(
      "cancellation",
      (call, events) => findUncancelledRun(call, events, history),
    ),
    ...checkCalls(
      "late-work",
      (call, events) => findWorkBegunLate(call, events, history),
    ),
    ...checkCalls(
      "planned-stops",
      (call, events) => findPlannedStopLoss(call, events, history),
    ),
    ...checkCalls(
      "lost-answers",
      (call, events) => findLostAnswer(call, events, history),
    ),
    ...checkCalls(
      "recovery",
      (call, events) => findUnrecoveredCall(call, events, history),
    ),
    ...findLateArrivals(history),
    ...findRequestsAtRest(history),
    ...findExcessRequests(history),
    ...findEvacuatedArrivals(history),
    ...findColdExcess(history),
    ...findVersionRollbacks(history),
    ...findRepeatedCrashes(history),
    ...findStarvedRequests(history),
    ...findExcessRetries(history, limits),
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
