/** Check that no answer of a sound runner is lost on the way to its caller. */
import { type Finding, hasExitedDuring } from "./call_checks.ts";
import { areRunnerLinksCut, isGatewayDisturbed } from "./disturbances.ts";
import type {
  CallOutcome,
  CallRecord,
  History,
  RunnerEvent,
} from "./history.ts";

/** Time by which a timer of a gateway may end a request early. */
const timerPrecisionMs = 20;

/** Status of a gateway that got no answer from the runners it tried. */
const runnerFailedStatus = 502;

/**
 * Finds a call that lost its answer before its time limit, although no runner
 * that ran it broke off or exited. A runner that is silent for a time is sound,
 * also while another one refuses the request.
 */
export function findLostAnswer(
  call: CallRecord,
  events: readonly RunnerEvent[],
  { exits, faults }: History,
): Finding {
  const { endedAtMs, gateway, limitMs, outcome, sentAtMs } = call;
  const hasRun = events.some(({ type }) => type === "ran");
  const isInTime = endedAtMs - sentAtMs < limitMs - timerPrecisionMs;
  if (!isLost(outcome) || !hasRun || !isInTime) return undefined;
  const hasBrokenOff = events.some(({ type }) => type === "brokenOff");
  const hasExited = events.some((event) =>
    hasExitedDuring(event, { call, exits })
  );
  const interval = { gateway, fromMs: sentAtMs, toMs: endedAtMs };
  const isExcused = hasBrokenOff || hasExited ||
    isGatewayDisturbed(faults, interval) ||
    areRunnerLinksCut(faults, sentAtMs, endedAtMs);
  return isExcused ? undefined : "lost although its runners were sound";
}

/** Whether a caller got no answer, a part of one or a gateway's failure. */
function isLost(outcome: CallOutcome): boolean {
  if (outcome.type === "failed") return true;
  return outcome.type === "answered" &&
    (!outcome.isComplete || outcome.status === runnerFailedStatus);
}
