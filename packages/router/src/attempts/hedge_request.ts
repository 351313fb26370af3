import { mergeAttemptErrors } from "@jasminetide/core/attempts";
import { normalizeError } from "@jasminetide/core/results";
import { getHedgeDelayMs } from "@jasminetide/core/retries";
import {
  type DispatchContext,
  type Dispatched,
  type DispatchRequest,
  dispatchRequest,
} from "./dispatch_request.ts";
import { abandonAttempt } from "./open_answer.ts";

/**
 * Dispatches a lookup; when its answer is later than most, a second attempt
 * goes to another runner inside the hedging budget, and the first answer wins.
 */
export async function hedgeRequest(
  dispatch: DispatchRequest,
  context: DispatchContext,
): Promise<Dispatched> {
  context.pool.hedges.recordAttempt();
  const delayMs = getHedgeDelayMs(context.pool.firstBytes, {
    hedge: dispatch.settings.hedge,
    nowMs: context.timers.nowMs(),
  });
  const chosen = new Set<string>();
  const tracked = trackChoices(dispatch, chosen);
  const first = dispatchRequest(tracked, context);
  if (delayMs === undefined) return first;
  if (await isSettledWithin(first, { delayMs, context })) return first;
  if (!context.pool.hedges.tryTake()) return first;
  const isOtherLeft = dispatch.chooseRunner(chosen) !== undefined;
  if (!isOtherLeft) return first;
  context.metrics.count("hedges");
  return raceDispatches(first, dispatchRequest(tracked, context));
}

/** Makes each attempt go to a runner that no other attempt went to. */
function trackChoices(
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
  first: Promise<Dispatched>,
  second: Promise<Dispatched>,
): Promise<Dispatched> {
  const winner = await Promise.any([first, second]).catch(throwMergedError);
  for (const dispatched of [first, second]) {
    void dispatched.then(
      (other) => other === winner ? undefined : retire(other),
      () => {},
    );
  }
  return winner;
}

/** Neither attempt answered; the caller gets what is true of both. */
function throwMergedError(thrown: AggregateError): never {
  throw mergeAttemptErrors(thrown.errors.map(normalizeError));
}

async function retire(dispatched: Dispatched): Promise<void> {
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
