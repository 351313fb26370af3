import { canRepeat, mergeAttemptErrors } from "@jasminetide/core/attempts";
import { AppError, normalizeError } from "@jasminetide/core/results";
import type { RunnerRow } from "@jasminetide/core/tables";
import {
  headerNames,
  type RequestEnvelope,
} from "@jasminetide/runtime/exchange";
import { v7 as createAttemptId } from "uuid";
import type { RunnerDirectory } from "../membership/mod.ts";
import {
  type AnswerStart,
  type Attempt,
  type AttemptContext,
  type OutgoingRequest,
  readRefusal,
  sendAttempt,
} from "./attempt.ts";

/** A request to be brought to some runner. */
export type DispatchRequest = {
  request: OutgoingRequest;
  envelope: Omit<RequestEnvelope, "attempt" | "epoch" | "remainingMs">;
  isIdempotent: boolean;
  deadlineAtMs: number;
  maximumAttempts: number;
  /** Chooses a runner that is not among those already tried. */
  chooseRunner: (tried: ReadonlySet<string>) => RunnerRow | undefined;
};

/** An answer that has begun, with the attempt that it belongs to. */
export type Dispatched = { attempt: Attempt; start: AnswerStart };

/**
 * Brings a request to a runner. A failed attempt is repeated elsewhere when
 * the request is idempotent or the attempt is proven not run.
 */
export async function dispatchRequest(
  dispatch: DispatchRequest,
  context: AttemptContext & { directory: RunnerDirectory },
): Promise<Dispatched> {
  const tried = new Set<string>();
  const errors: AppError[] = [];
  for (let count = 0; count < dispatch.maximumAttempts; count++) {
    const runner = dispatch.chooseRunner(tried);
    if (runner === undefined) break;
    try {
      return await tryRunner(dispatch, runner, context);
    } catch (thrown) {
      const error = normalizeError(thrown);
      errors.push(error);
      context.metrics.count(`attempt-failed-${error.result}`);
      if (!canRepeat(dispatch, error)) break;
      if (error.result !== "epochMismatch") tried.add(runner.id);
    }
  }
  if (errors.length > 0) throw mergeAttemptErrors(errors);
  throw AppError.create(
    "noRunner",
    `No live runner for "${dispatch.envelope.pool}"`,
    { retryAfterMs: 1000 },
  );
}

async function tryRunner(
  dispatch: DispatchRequest,
  runner: RunnerRow,
  context: AttemptContext & { directory: RunnerDirectory },
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
    },
  };
  const start = await sendAttempt(attempt, context);
  const epoch = Number(start.headers[headerNames.epoch]);
  if (Number.isSafeInteger(epoch)) {
    context.directory.recordEpoch(runner.id, epoch);
  }
  if (start.headers[headerNames.executed] !== undefined) {
    throw await readRefusal(start);
  }
  return { attempt, start };
}
