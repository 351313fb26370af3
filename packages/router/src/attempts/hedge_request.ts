import { mergeAttemptErrors } from "@jasminetide/core/attempts";
import { normalizeError } from "@jasminetide/core/results";
import { getHedgeDelayMs } from "@jasminetide/core/retries";
import {
  type DispatchContext,
  type DispatchRequest,
  dispatchRequest,
  type DispatchResult,
} from "./dispatch_request.ts";
import { abandonAttempt } from "./open_answer.ts";

/**
 * Dispatches a lookup. If its answer takes longer than most, a second attempt
 * is sent to another runner within the hedging budget, and the first answer is
 * used.
 */
export async function hedgeRequest(
  dispatch: DispatchRequest,
  context: DispatchContext,
): Promise<DispatchResult> {
  const { hedges } = context.pool;
  const sentAtMs = context.timers.nowMs();
  hedges.recordRequest(sentAtMs);
  const delayMs = getHedgeDelayMs(context.pool.firstByteTimes, {
    hedge: dispatch.settings.hedge,
    nowMs: sentAtMs,
  });
  const chosen = new Set<string>();
  const tracked = trackChosenRunners(dispatch, chosen);
  const first = dispatchRequest(tracked, context);
  if (delayMs === undefined) return first;
  if (await isSettledWithin(first, { delayMs, context })) return first;
  const hasOtherRunner = dispatch.chooseRunner(chosen) !== undefined;
  if (!hasOtherRunner) return first;
  if (!tryTakeHedge(context, sentAtMs + delayMs)) return first;
  context.metrics.count("hedges");
  return raceDispatches(first, dispatchRequest(tracked, context));
}

/** Takes a hedge from its budget and from that of the retries. */
function tryTakeHedge(
  { metrics, pool: { hedges, retries }, timers }: DispatchContext,
  dueAtMs: number,
): boolean {
  const nowMs = timers.nowMs();
  const refusal = hedges.findRefusal({
    nowMs,
    hasRetriesToSpare: retries.hasHalfLeft,
    timerDelayMs: nowMs - dueAtMs,
  });
  if (refusal !== undefined || !retries.tryTake()) {
    metrics.count("hedges-refused");
    return false;
  }
  hedges.recordHedge(nowMs);
  return true;
}

/** Prefers runners that neither of the two dispatches has chosen yet. */
function trackChosenRunners(
  dispatch: DispatchRequest,
  chosen: Set<string>,
): DispatchRequest {
  return {
    ...dispatch,
    chooseRunner: (tried) => {
      const runner = dispatch.chooseRunner(new Set([...tried, ...chosen])) ??
        dispatch.chooseRunner(tried);
      if (runner !== undefined) chosen.add(runner.id);
      return runner;
    },
  };
}

async function raceDispatches(
  first: Promise<DispatchResult>,
  second: Promise<DispatchResult>,
): Promise<DispatchResult> {
  const winner = await Promise.any([first, second]).catch(throwMergedError);
  for (const dispatched of [first, second]) {
    void dispatched.then(
      (other) => other === winner ? undefined : cancelDispatched(other),
      () => {},
    );
  }
  return winner;
}

/** Throws the merged errors of both dispatches after both have failed. */
function throwMergedError(thrown: AggregateError): never {
  throw mergeAttemptErrors(thrown.errors.map(normalizeError));
}

async function cancelDispatched(dispatched: DispatchResult): Promise<void> {
  dispatched.start.abort.abort();
  await abandonAttempt(dispatched.attempt, dispatched.context);
}

async function isSettledWithin(
  promise: Promise<unknown>,
  options: { delayMs: number; context: DispatchContext },
): Promise<boolean> {
  const { promise: elapsed, resolve } = createDeferred<boolean>();
  using _timer = options.context.timers.schedule(
    options.delayMs,
    () => resolve(false),
  );
  const settled = promise.then(() => true, () => true);
  return await Promise.race([settled, elapsed]);
}

function createDeferred<Value>() {
  let resolve: (value: Value) => void = () => {};
  const promise = new Promise<Value>((settle) => resolve = settle);
  return { promise, resolve };
}
