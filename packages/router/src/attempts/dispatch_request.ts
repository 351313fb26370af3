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
  const progress = createProgress();
  const { maximumAttempts } = dispatch.settings.retry;
  while (progress.failures < maximumAttempts) {
    const runner = chooseNext(dispatch, progress);
    if (runner === undefined) break;
    await checkRetry(dispatch, context, progress);
    try {
      return await tryRunner(dispatch, runner, context);
    } catch (thrown) {
      const error = normalizeError(thrown);
      recordFailure(runner, error, context);
      recordProgress(progress, runner, error);
    }
  }
  throw progress.lastError ?? createNoRunnerError(dispatch);
}

/** How far the attempts at one request have come. */
type Progress = {
  /** Runners that are not asked again. */
  tried: Set<string>;
  /** Runners whose epoch was learnt from a refusal. */
  mismatched: Set<string>;
  /** Attempts that cost their pool something. */
  failures: number;
  /** The errors so far, merged. */
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

/** Chooses the next runner; one that has begun to leave is passed over. */
function chooseNext(
  dispatch: DispatchRequest,
  progress: Progress,
): RunnerRow | undefined {
  let runner = dispatch.chooseRunner(progress.tried);
  while (runner?.state === "leaving") {
    progress.tried.add(runner.id);
    progress.lastError ??= AppError.create(
      "runnerLeaving",
      `Runner ${runner.id} takes no new work`,
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
  // A new epoch is learnt from the refusal and asked once more.
  const isNews = error.result === "epochMismatch" &&
    !mismatched.has(runner.id);
  if (isNews) mismatched.add(runner.id);
  else tried.add(runner.id);
  if (!isCheapRefusal(error)) progress.failures += 1;
  progress.lastError = lastError === undefined
    ? error
    : mergeAttemptErrors([lastError, error]);
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
  if (dispatch.envelope.isIdempotent) await checkStatus(runner, start);
  const nowMs = context.timers.nowMs();
  context.pool.firstBytes.record(nowMs - sentAtMs, nowMs);
  context.pool.circuit.record("succeeded", nowMs);
  return { attempt, start, context: attemptContext };
}

/** Fails an attempt whose runner has failed, so that another is asked. */
async function checkStatus(
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

/** Waits before a repetition, or throws why there is none. */
async function checkRetry(
  dispatch: DispatchRequest,
  context: DispatchContext,
  progress: Progress,
): Promise<void> {
  const { lastError, failures } = progress;
  if (lastError === undefined) return;
  const { envelope, settings } = dispatch;
  if (!canRetry(envelope, lastError)) throw lastError;
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
  await wait(context.timers, delayMs);
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
