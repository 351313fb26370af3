import type { RequestKind } from "@jasminetide/core/routes";
import type { AttemptEnd } from "./attempt.ts";

/** State of a request after one of its attempts has ended. */
export type RequestProgress = {
  kind: RequestKind;
  isResumable: boolean;
  /** Whether part of an answer was sent to the caller. */
  hasBegun: boolean;
  /** Attempts in which the request may have run. */
  runs: number;
  /** Limit on the attempts in which the request may run. */
  maxRuns: number;
  /** Attempts so far, including unsent and refused ones. */
  attempts: number;
};

/** Action that follows an attempt. */
export type NextStep =
  /** Send the runner's answer as it is. */
  | "answer"
  /** Send the request to another runner. */
  | "repeat"
  /** Continue the stream at a runner after the last relayed event. */
  | "resume"
  /** Refuse the request, which has certainly not run. */
  | "refuse"
  /** Report a failure to the caller; the request may have run. */
  | "fail"
  /** Cut off an answer that has begun. */
  | "breakOff"
  /** Do nothing; the request is over. */
  | "none";

/**
 * Decides what follows an attempt. A request that may have run is retried only
 * if running it again is harmless.
 */
export function decideNext(
  end: AttemptEnd,
  progress: RequestProgress,
): NextStep {
  const hasAttemptsLeft = progress.attempts < maxTotalAttempts;
  switch (end.type) {
    case "cancelled":
    case "relayed":
      return "none";
    case "unsent":
    case "withdrawn":
    case "notRun":
      return hasAttemptsLeft ? "repeat" : decideAfterLastAttempt(progress);
    case "answered":
      if (end.head.status >= 500 && hasAttemptsLeft && canRunAgain(progress)) {
        return "repeat";
      }
      return progress.hasBegun ? "breakOff" : "answer";
    case "broken":
      if (!hasAttemptsLeft || !canRunAgain(progress)) {
        return progress.hasBegun ? "breakOff" : "fail";
      }
      return progress.hasBegun ? "resume" : "repeat";
  }
}

/** Limit on the attempts at one request, however they end. */
const maxTotalAttempts = 4;

/** Whether a request that may have run may be sent to another runner. */
export function canRunAgain(progress: RequestProgress): boolean {
  const { hasBegun, runs, maxRuns } = progress;
  if (runs >= maxRuns) return false;
  return progress.isResumable || (isRepeatable(progress) && !hasBegun);
}

/** Whether running a request of a route more than once is harmless. */
export function isRepeatable(
  route: { kind: RequestKind; isResumable: boolean },
): boolean {
  return route.isResumable || route.kind === "idempotent";
}

/** Whether another runner may take over from one that is silent. */
export function canTakeOver(progress: RequestProgress): boolean {
  return progress.attempts < maxTotalAttempts && canRunAgain(progress);
}

/** Whether a step is final although other attempts are still under way. */
export function isSettled(step: NextStep, end: AttemptEnd): boolean {
  if (step === "none") return true;
  return step === "answer" && end.type === "answered" && end.head.status < 500;
}

/** Decides what follows a last attempt that did not run the request. */
function decideAfterLastAttempt(progress: RequestProgress): NextStep {
  if (progress.hasBegun) return "breakOff";
  return progress.runs > 0 ? "fail" : "refuse";
}
