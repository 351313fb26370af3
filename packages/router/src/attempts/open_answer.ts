import {
  AppError,
  normalizeError,
  parseProblem,
} from "@jasminetide/core/results";
import { headerNames } from "@jasminetide/runtime/exchange";
import type { AnswerStart, Attempt, AttemptContext } from "./attempt.ts";
import {
  cancelAttempt,
  requestAnswer,
  requestSettlement,
} from "./request_answer.ts";

/**
 * Sends an attempt and waits for the head of its answer. When the connection
 * fails or goes silent, the attempt is settled with its sidecar on a new one.
 *
 * @throws AppError whose `executed` is `no` only if nothing was sent or the
 * sidecar reported that the attempt did not run.
 */
export async function openAnswer(
  attempt: Attempt,
  context: AttemptContext,
): Promise<AnswerStart> {
  let start: AnswerStart;
  try {
    start = await requestAnswer(attempt, context);
  } catch (thrown) {
    start = await recoverAnswer(attempt, context, {
      offsetBytes: 0,
      cause: normalizeError(thrown),
      failedPool: context.connections.get(attempt.runner.dataAddress),
    });
  }
  return start;
}

/** Position from which an answer is recovered, and the reason. */
export type RecoverOptions = {
  offsetBytes: number;
  cause: AppError;
  /** Pool whose connection failed or went silent. */
  failedPool: AnswerStart["pool"];
};

/** Gets the rest of an answer whose connection failed, on new connections. */
export async function recoverAnswer(
  attempt: Attempt,
  context: AttemptContext,
  options: RecoverOptions,
): Promise<AnswerStart> {
  let { cause, failedPool } = options;
  for (let count = 0; count < context.stream.maximumResumes; count++) {
    await checkRecoverable(attempt, context, cause);
    context.metrics.count("attempts-settled");
    failedPool = context.connections.replace(
      attempt.runner.dataAddress,
      failedPool,
    );
    try {
      return await requestSettlement(attempt, context, {
        pool: failedPool,
        offsetBytes: options.offsetBytes,
      });
    } catch (thrown) {
      cause = normalizeSettlementError(normalizeError(thrown));
    }
  }
  throw cause;
}

/** Reads the error from a sidecar's refusal. */
export async function readRefusal(start: AnswerStart): Promise<AppError> {
  const text = await start.response.body.text();
  return parseProblem(text, start.headers["retry-after"]);
}

/** Checks whether an answer is a refusal by the sidecar, not by the runner. */
export function isRefusal(start: AnswerStart): boolean {
  return start.headers[headerNames.executed] !== undefined;
}

async function checkRecoverable(
  attempt: Attempt,
  context: AttemptContext,
  cause: AppError,
): Promise<void> {
  switch (cause.result) {
    case "runnerFailed":
      return;
    case "callerGone":
    case "deadlineExceeded":
      await abandonAttempt(attempt, context);
      throw cause;
    default:
      throw cause;
  }
}

/** Cancels an idempotent attempt; a failed cancellation is only counted. */
export async function abandonAttempt(
  attempt: Attempt,
  context: AttemptContext,
): Promise<void> {
  if (!attempt.envelope.isIdempotent) return;
  try {
    await cancelAttempt(attempt, context);
  } catch {
    context.metrics.count("cancels-failed");
  }
}

/**
 * Turns `runnerUnreachable` into `runnerFailed`: that a sidecar is unreachable
 * now does not prove that an attempt sent earlier did not run.
 */
function normalizeSettlementError(error: AppError): AppError {
  if (error.result !== "runnerUnreachable") return error;
  return AppError.create("runnerFailed", error.message, { cause: error });
}
