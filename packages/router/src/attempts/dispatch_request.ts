import type { IncomingHttpHeaders } from "node:http";
import { canRetry, mergeAttemptErrors } from "@jasminetide/core/attempts";
import type { Settings } from "@jasminetide/core/configuration";
import { AppError, normalizeError } from "@jasminetide/core/results";
import { getBackoffMs } from "@jasminetide/core/retries";
import type { RandomSource } from "@jasminetide/core/random";
import type { RunnerRow } from "@jasminetide/core/tables";
import { wait } from "@jasminetide/core/timers";
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

/** A request to send to a runner of its pool. */
export type DispatchRequest = {
  request: OutgoingRequest;
  envelope: Omit<
    RequestEnvelope,
    "attempt" | "epoch" | "remainingMs" | "sender"
  >;
  deadlineAtMs: number;
  settings: Settings;
  /** Chooses a runner that has not been tried yet. */
  chooseRunner: (tried: ReadonlySet<string>) => RunnerRow | undefined;
  /** Called with the headers of a refusal, before the next runner is chosen. */
  observeRefusal?: (headers: IncomingHttpHeaders) => void;
};

/** Services and pool state that dispatching uses. */
export type DispatchContext = Omit<AttemptContext, "stream" | "silences"> & {
  membership: Membership;
  random: RandomSource;
  pool: PoolState;
};

/** The head of an answer and the attempt that it belongs to. */
export type DispatchResult = {
  attempt: Attempt;
  start: AnswerStart;
  context: AttemptContext;
};

/**
 * Sends a request to a runner. A failed attempt is retried on another runner
 * if the request is idempotent or the attempt provably did not run, within the
 * pool's retry budget and the deadline.
 */
export async function dispatchRequest(
  dispatch: DispatchRequest,
  context: DispatchContext,
): Promise<DispatchResult> {
  checkCircuit(dispatch, context);
  context.pool.retries.recordAttempt();
  const progress = createProgress();
  const { maximumAttempts } = dispatch.settings.retry;
  while (progress.failures < maximumAttempts) {
    const runner = chooseNextRunner(dispatch, progress);
    if (runner === undefined) break;
    await waitBeforeRetry(dispatch, context, progress);
    try {
      return await sendAttempt(dispatch, runner, context);
    } catch (thrown) {
      const error = normalizeError(thrown);
      recordFailure(runner, error, context);
      recordProgress(progress, runner, error);
    }
  }
  throw progress.lastError ?? createNoRunnerError(dispatch);
}

/** State of the attempts of one request so far. */
type Progress = {
  /** Runners that are not tried again. */
  tried: Set<string>;
  /** Runners that have refused an attempt because of an outdated epoch. */
  mismatched: Set<string>;
  /** Failed attempts, without the refusals in `uncountedRefusals`. */
  failures: number;
  /** Errors of all attempts so far, merged into one. */
  lastError: AppError | undefined;
};

function createProgress(): Progress {
  return {
    tried: new Set(),
    mismatched: new Set(),
    failures: 0,
    lastError: undefined,
  };
}

/** Chooses the next runner and skips those that are leaving. */
function chooseNextRunner(
  dispatch: DispatchRequest,
  progress: Progress,
): RunnerRow | undefined {
  let runner = dispatch.chooseRunner(progress.tried);
  while (runner?.state === "leaving") {
    progress.tried.add(runner.id);
    progress.lastError ??= AppError.create(
      "runnerLeaving",
      `Runner ${runner.id} is leaving and accepts no new requests`,
    );
    runner = dispatch.chooseRunner(progress.tried);
  }
  return runner;
}

function recordProgress(
  progress: Progress,
  runner: RunnerRow,
  error: AppError,
): void {
  const { lastError, mismatched, tried } = progress;
  // The refusal carries the current epoch, so the runner is tried once more.
  const isFirstMismatch = error.result === "epochMismatch" &&
    !mismatched.has(runner.id);
  if (isFirstMismatch) mismatched.add(runner.id);
  else tried.add(runner.id);
  if (!isUncountedRefusal(error)) progress.failures += 1;
  progress.lastError = lastError === undefined
    ? error
    : mergeAttemptErrors([lastError, error]);
}

async function sendAttempt(
  dispatch: DispatchRequest,
  runner: RunnerRow,
  context: DispatchContext,
): Promise<DispatchResult> {
  const attempt: Attempt = {
    runner,
    request: dispatch.request,
    deadlineAtMs: dispatch.deadlineAtMs,
    envelope: {
      ...dispatch.envelope,
      attempt: createAttemptId(),
      epoch: runner.epoch,
      remainingMs: 0,
      sender: context.membership.controlAddress,
    },
  };
  const attemptContext = {
    ...context,
    stream: dispatch.settings.stream,
    silences: context.pool.silences,
  };
  context.membership.recordDispatch(runner.id);
  const sentAtMs = context.timers.nowMs();
  const start = await openAnswer(attempt, attemptContext);
  context.membership.recordAnswer(runner.id, start.headers);
  if (isRefusal(start)) {
    dispatch.observeRefusal?.(start.headers);
    throw await readRefusal(start);
  }
  if (dispatch.envelope.isIdempotent) await throwOnServerError(runner, start);
  const nowMs = context.timers.nowMs();
  context.pool.firstByteTimes.record(nowMs - sentAtMs, nowMs);
  context.pool.circuit.record("succeeded", nowMs);
  return { attempt, start, context: attemptContext };
}

/** Throws on a 5xx status, so that another runner is tried. */
async function throwOnServerError(
  runner: RunnerRow,
  start: AnswerStart,
): Promise<void> {
  if (start.status < 500) return;
  await start.response.body.dump();
  throw AppError.create(
    "runnerFailed",
    `Runner ${runner.id} answered with status ${start.status}`,
  );
}

/**
 * Waits before a retry; before the first attempt it does nothing.
 *
 * @throws AppError the error of the attempts so far if no retry is allowed.
 */
async function waitBeforeRetry(
  dispatch: DispatchRequest,
  context: DispatchContext,
  progress: Progress,
): Promise<void> {
  const { lastError, failures } = progress;
  if (lastError === undefined) return;
  const { envelope, settings } = dispatch;
  if (!canRetry(envelope, lastError)) throw lastError;
  if (lastError.result === "callerGone") throw lastError;
  // The attempt used no capacity of the pool: the next runner is tried at once.
  if (isUncountedRefusal(lastError)) return;
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
  await wait(context.timers, delayMs);
}

/** Refusals that use no capacity and count neither as failures nor retries. */
const uncountedRefusals = new Set([
  "chatHeldElsewhere",
  "epochMismatch",
  "overLoadCap",
  "runnerLeaving",
]);

/** Refusals by which a pool has no room for extra work. */
const fullRefusals = new Set([
  "deadlineUnreachable",
  "overLoadCap",
  "overloaded",
]);

function isUncountedRefusal(error: AppError): boolean {
  return uncountedRefusals.has(error.result);
}

function recordFailure(
  runner: RunnerRow,
  error: AppError,
  context: DispatchContext,
): void {
  context.metrics.count(`attempt-failed-${error.result}`);
  if (fullRefusals.has(error.result)) {
    context.pool.hedges.recordRefusal(context.timers.nowMs());
  }
  if (error.result === "runnerFailed" || error.result === "runnerUnreachable") {
    context.pool.circuit.record("failed", context.timers.nowMs());
    context.membership.recordFailure(runner.id);
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
    `Circuit of pool "${dispatch.envelope.pool}" is open: ` +
      "almost all attempts fail",
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
