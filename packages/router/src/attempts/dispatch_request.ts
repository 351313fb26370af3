import type { IncomingHttpHeaders } from "node:http";
import { canRepeat, mergeAttemptErrors } from "@jasminetide/core/attempts";
import type { Settings } from "@jasminetide/core/configuration";
import { AppError, normalizeError } from "@jasminetide/core/results";
import { getBackoffMs } from "@jasminetide/core/retries";
import type { RandomSource } from "@jasminetide/core/random";
import type { RunnerRow } from "@jasminetide/core/tables";
import type { RequestEnvelope } from "@jasminetide/runtime/exchange";
import type { Membership } from "@jasminetide/runtime/membership";
import { v7 as createAttemptId } from "uuid";
import type {
  AnswerStart,
  Attempt,
  AttemptContext,
  OutgoingRequest,
} from "./attempt.ts";
import { isRefusal, openAnswer, readRefusal } from "./open_answer.ts";
import type { PoolState } from "./pool_state.ts";

/** A request to be brought to some runner. */
export type DispatchRequest = {
  request: OutgoingRequest;
  envelope: Omit<
    RequestEnvelope,
    "attempt" | "epoch" | "remainingMs" | "sender"
  >;
  deadlineAtMs: number;
  settings: Settings;
  /** Chooses a runner that is not among those already tried. */
  chooseRunner: (tried: ReadonlySet<string>) => RunnerRow | undefined;
  /** Called with the headers of each refusal, before the next choice. */
  observeRefusal?: (headers: IncomingHttpHeaders) => void;
};

/** What dispatching works with. */
export type DispatchContext = Omit<AttemptContext, "stream" | "silences"> & {
  directory: Membership;
  random: RandomSource;
  pool: PoolState;
};

/** An answer that has begun, with the attempt that it belongs to. */
export type Dispatched = {
  attempt: Attempt;
  start: AnswerStart;
  context: AttemptContext;
};

/**
 * Brings a request to a runner. A failed attempt is repeated at another runner
 * when the request is idempotent or the attempt is proven not run, inside the
 * pool's retry budget and the deadline.
 */
export async function dispatchRequest(
  dispatch: DispatchRequest,
  context: DispatchContext,
): Promise<Dispatched> {
  checkCircuit(dispatch, context);
  context.pool.retries.recordAttempt();
  const { maximumAttempts } = dispatch.settings.retry;
  const tried = new Set<string>();
  const mismatched = new Set<string>();
  let lastError: AppError | undefined;
  let failures = 0;
  while (failures < maximumAttempts) {
    const runner = dispatch.chooseRunner(tried);
    if (runner === undefined) break;
    if (runner.state === "leaving") {
      tried.add(runner.id);
      lastError ??= AppError.create(
        "runnerLeaving",
        `Runner ${runner.id} takes no new work`,
      );
      continue;
    }
    if (lastError !== undefined) {
      await checkRetry(dispatch, context, { lastError, failures });
    }
    try {
      return await tryRunner(dispatch, runner, context);
    } catch (thrown) {
      const error = normalizeError(thrown);
      recordFailure(runner, error, context);
      // A new epoch is learnt from the refusal and asked once more.
      const isNews = error.result === "epochMismatch" &&
        !mismatched.has(runner.id);
      if (isNews) mismatched.add(runner.id);
      else tried.add(runner.id);
      if (!isCheapRefusal(error)) failures += 1;
      lastError = lastError === undefined
        ? error
        : mergeAttemptErrors([lastError, error]);
    }
  }
  throw lastError ?? createNoRunnerError(dispatch);
}

async function tryRunner(
  dispatch: DispatchRequest,
  runner: RunnerRow,
  context: DispatchContext,
): Promise<Dispatched> {
  const attempt: Attempt = {
    runner,
    request: dispatch.request,
    deadlineAtMs: dispatch.deadlineAtMs,
    envelope: {
      ...dispatch.envelope,
      attempt: createAttemptId(),
      epoch: runner.epoch,
      remainingMs: 0,
      sender: context.directory.controlAddress,
    },
  };
  const attemptContext = {
    ...context,
    stream: dispatch.settings.stream,
    silences: context.pool.silences,
  };
  context.directory.recordDispatch(runner.id);
  const sentAtMs = context.timers.nowMs();
  const start = await openAnswer(attempt, attemptContext);
  context.directory.recordAnswer(runner.id, start.headers);
  if (isRefusal(start)) {
    dispatch.observeRefusal?.(start.headers);
    throw await readRefusal(start);
  }
  const nowMs = context.timers.nowMs();
  context.pool.firstBytes.record(nowMs - sentAtMs, nowMs);
  context.pool.circuit.record("succeeded", nowMs);
  return { attempt, start, context: attemptContext };
}

/** Waits before a repetition, or throws why there is none. */
async function checkRetry(
  dispatch: DispatchRequest,
  context: DispatchContext,
  options: { lastError: AppError; failures: number },
): Promise<void> {
  const { lastError, failures } = options;
  const { envelope, settings } = dispatch;
  if (!canRepeat(envelope, lastError)) throw lastError;
  if (lastError.result === "callerGone") throw lastError;
  // A refusal has cost the pool nothing: the next rank is asked at once.
  if (isCheapRefusal(lastError)) return;
  if (!context.pool.retries.tryTake()) {
    context.metrics.count("retry-budget-spent");
    throw lastError;
  }
  context.metrics.count("retries");
  const delayMs = getBackoffMs(failures - 1, {
    ...settings.retry,
    random: context.random,
  });
  const leftMs = dispatch.deadlineAtMs - context.timers.nowMs();
  if (delayMs >= leftMs) throw lastError;
  await new Promise((resolve) => context.timers.schedule(delayMs, resolve));
}

const cheapRefusals = new Set([
  "chatHeldElsewhere",
  "epochMismatch",
  "overLoadCap",
  "runnerLeaving",
]);

function isCheapRefusal(error: AppError): boolean {
  return cheapRefusals.has(error.result);
}

function recordFailure(
  runner: RunnerRow,
  error: AppError,
  context: DispatchContext,
): void {
  context.metrics.count(`attempt-failed-${error.result}`);
  if (error.result === "runnerFailed" || error.result === "runnerUnreachable") {
    context.pool.circuit.record("failed", context.timers.nowMs());
    context.directory.recordFailure(runner.id);
  } else context.pool.circuit.release();
}

function checkCircuit(
  dispatch: DispatchRequest,
  context: DispatchContext,
): void {
  const nowMs = context.timers.nowMs();
  const { circuit } = context.pool;
  if (circuit.tryAdmit(nowMs)) return;
  throw AppError.create(
    "circuitOpen",
    `Almost every attempt at "${dispatch.envelope.pool}" fails`,
    { retryAfterMs: circuit.getRetryAfterMs(nowMs) },
  );
}

function createNoRunnerError(dispatch: DispatchRequest): AppError {
  return AppError.create(
    "noRunner",
    `No live runner for "${dispatch.envelope.pool}"`,
    { retryAfterMs: 1000 },
  );
}
