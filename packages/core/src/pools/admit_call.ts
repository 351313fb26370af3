import {
  choosePlainRunner,
  type PlainChoiceContext,
  type PoolRunner,
} from "./choose_runner.ts";

/** What decides whether a plain request is sent to a busy service. */
export type CallAdmissionContext = PlainChoiceContext & {
  /** Time aimed at for the whole answer. */
  goalMs: number;
  /** Time that a runner takes for a request of the service without waiting. */
  serviceMs: number;
};

/**
 * Chooses the runner of a plain request, unless it would wait there for longer
 * than its goal leaves time. A service with less room than its callers ask for
 * runs as many requests with a short queue as with a long one; with a long one,
 * each of them is late.
 *
 * @returns undefined if the request should be refused at once.
 */
export function chooseRunnerInTime<Runner extends PoolRunner>(
  runners: readonly Runner[],
  context: CallAdmissionContext,
): Runner | undefined {
  const chosen = choosePlainRunner(runners, context);
  if (chosen === undefined) return undefined;
  const waitMs = getExpectedWaitMs(chosen, context);
  return waitMs <= getMaxWaitMs(context) ? chosen : undefined;
}

/**
 * Gets the longest delay after which a refused request can still meet its goal,
 * if it then waits no longer than others.
 */
export function getReturnWithinMs(
  { goalMs, serviceMs }: { goalMs: number; serviceMs: number },
): number {
  return Math.max(0, goalMs - serviceMs - getMaxWaitMs({ goalMs, serviceMs }));
}

/** Gets how long one more request would wait for a slot of a runner. */
export function getExpectedWaitMs(
  { load, slots }: PoolRunner,
  { nowMs, serviceMs }: { nowMs: number; serviceMs: number },
): number {
  const waiting = Math.max(0, load.getEstimate(nowMs) + 1 - slots);
  return waiting * serviceMs * load.getSlowness(nowMs) / slots;
}

/**
 * Gets the longest wait with which most requests still meet their goal; that of
 * one request ahead at least, so that goals which leave no time don't refuse all.
 */
function getMaxWaitMs(
  { goalMs, serviceMs }: { goalMs: number; serviceMs: number },
): number {
  return Math.max(serviceMs, (goalMs - serviceMs) * maxWaitShare);
}

/**
 * Share of the time that the work leaves which may be spent on waiting. The rest
 * is for work that takes longer than usual and for loads that are known late.
 */
const maxWaitShare = 0.5;
