/** Names of the checks and the violations that they report. */
import type { CallRecord } from "./history.ts";

/** Names of the checks, one for each guarantee. */
export const checkNames = [
  "whole-answers",
  "software-versions",
  "at-most-once",
  "true-refusals",
  "attempts",
  "repeats",
  "time-limits",
  "versions",
  "never-back",
  "drained-runners",
  "announced-leaving",
  "resting-runners",
  "stated-limits",
  "evacuated-domains",
  "cold-runners",
  "cancellation",
  "late-work",
  "planned-stops",
  "lost-answers",
  "crashing-parts",
  "crashing-requests",
  "sound-requests",
  "recovery",
] as const;

/** Name of a check. */
export type CheckName = (typeof checkNames)[number];

/** A violated guarantee, with the evidence. */
export type Violation = { check: CheckName; detail: string };

/** Formats a call for the `detail` of a violation. */
export function formatCall(call: CallRecord): string {
  const { attemptId, gateway, kind, outcome, sentAtMs, endedAtMs } = call;
  const end = outcome.type === "answered"
    ? `${outcome.status}${outcome.isComplete ? "" : " broken off"}`
    : outcome.type;
  return `${kind} ${attemptId} at gateway ${gateway}, sent ${sentAtMs}, ` +
    `${end} after ${endedAtMs - sentAtMs} ms`;
}
