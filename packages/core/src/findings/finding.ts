/** What operators should look at in a document that has no faults. */

/** How a finding counts: an error makes requests fail, a warning does not. */
export type Severity = "error" | "warning";

/** Kinds of findings, with their severity. */
export const findingSeverities = {
  // Entries that can never match or take effect.
  classDeadlineAlways: "warning",
  exceptionEqualsDefault: "warning",
  exceptionNeverMatches: "warning",
  exceptionOverridden: "warning",
  hiddenRoute: "warning",
  hiddenServiceRoute: "warning",
  noCallerKey: "error",
  noColdRequest: "warning",
  pauseGoalWithoutStream: "warning",
  prefixNeverMatches: "error",
  routeWithoutService: "error",
  serviceWithoutRoute: "warning",
  undeclaredService: "error",
  workspaceWithoutKeys: "warning",
  // Values that contradict each other.
  goalOverLimit: "warning",
  limitOverDeadline: "warning",
  minimumOverMaximum: "warning",
  noAttemptAllowed: "error",
  noRetryAllowed: "warning",
  repeatedKey: "error",
  repeatedName: "error",
  repeatedService: "warning",
  resumeOfNonStream: "error",
  sharesWithoutSum: "warning",
  stopBeforeNotice: "warning",
  tooFewRunners: "warning",
} as const satisfies { [code: string]: Severity };

/** Kind of a finding. */
export type FindingCode = keyof typeof findingSeverities;

/** Something in a parsed document that operators hardly intend. */
export type Finding = {
  code: FindingCode;
  severity: Severity;
  /** Path of the value in the document. */
  path: PropertyKey[];
  /** What the value leads to, and which others it contradicts. */
  text: string;
};

/** Creates a finding of a kind. */
export function createFinding(
  code: FindingCode,
  { path, text }: { path: PropertyKey[]; text: string },
): Finding {
  return { code, severity: findingSeverities[code], path, text };
}
