import type { RequestKind } from "@jasminetide/core/routes";
import type { AttemptEnd } from "./attempt.ts";

/** What is known of a request when an attempt at it has ended. */
export type RequestProgress = {
  kind: RequestKind;
  isResumable: boolean;
  /** Whether part of an answer was passed on. */
  hasBegun: boolean;
  /** Runners at which it may have run. */
  runs: number;
  /** Most runners at which it may run. */
  maxRuns: number;
  /** Attempts so far, unsent and refused ones too. */
  attempts: number;
};

/** What is done after an attempt. */
export type NextStep =
  /** The answer is given as it is. */
  | "answer"
  /** Another runner is tried. */
  | "repeat"
  /** A runner is tried from the last event on. */
  | "resume"
  /** The request certainly has not run and is refused. */
  | "refuse"
  /** It may have run, and the caller is told of the failure. */
  | "fail"
  /** An answer that has begun is cut off. */
  | "breakOff"
  | "none";

/**
 * Decides what follows an attempt. A request that may have run is sent again
 * only where a second run does no harm.
 */
export function decideNext(
  end: AttemptEnd,
  progress: RequestProgress,
): NextStep {
  const hasTries = progress.attempts < maxAttemptsInAll;
  switch (end.type) {
    case "cancelled":
    case "relayed":
      return "none";
    case "unsent":
    case "notRun":
      return hasTries ? "repeat" : giveUpUnrun(progress);
    case "answered":
      if (end.head.status >= 500 && hasTries && canRunAgain(progress)) {
        return "repeat";
      }
      return progress.hasBegun ? "breakOff" : "answer";
    case "broken":
      if (!hasTries || !canRunAgain(progress)) {
        return progress.hasBegun ? "breakOff" : "fail";
      }
      return progress.hasBegun ? "resume" : "repeat";
  }
}

/** Attempts at one request, whatever became of them. */
const maxAttemptsInAll = 4;

/** Whether a request may be sent to one more runner after it may have run. */
export function canRunAgain(progress: RequestProgress): boolean {
  const { hasBegun, isResumable, kind, maxRuns, runs } = progress;
  if (runs >= maxRuns) return false;
  return isResumable || (kind === "idempotent" && !hasBegun);
}

function giveUpUnrun(progress: RequestProgress): NextStep {
  if (progress.hasBegun) return "breakOff";
  return progress.runs > 0 ? "fail" : "refuse";
}
