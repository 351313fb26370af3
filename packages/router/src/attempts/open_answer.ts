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
 * @throws AppError whose `executed` is `no` only when nothing was sent or the
 * sidecar said so.
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
      silentPool: context.connections.get(attempt.runner.dataAddress),
    });
  }
  return start;
}

/** From where an answer is recovered, and why. */
export type RecoverOptions = {
  offsetBytes: number;
  cause: AppError;
  /** Pool whose connection failed or went silent. */
  silentPool: AnswerStart["pool"];
};

/** Gets the rest of an answer whose connection failed, on new connections. */
export async function recoverAnswer(
  attempt: Attempt,
  context: AttemptContext,
  options: RecoverOptions,
): Promise<AnswerStart> {
  let { cause, silentPool } = options;
  for (let count = 0; count < context.stream.maximumResumes; count++) {
    await checkRecoverable(attempt, context, cause);
    context.metrics.count("attempts-settled");
    silentPool = context.connections.replace(
      attempt.runner.dataAddress,
      silentPool,
    );
    try {
      return await requestSettlement(attempt, context, {
        pool: silentPool,
        offsetBytes: options.offsetBytes,
      });
    } catch (thrown) {
      cause = describeUnsettled(normalizeError(thrown));
    }
  }
  throw cause;
}

/** Turns a sidecar's refusal into the error that it stands for. */
export async function readRefusal(start: AnswerStart): Promise<AppError> {
  const text = await start.response.body.text();
  return parseProblem(text, start.headers["retry-after"]);
}

/** Says whether an answer is the sidecar's own refusal. */
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

/** Cancels an attempt that may be cancelled; a failure to do so is no error. */
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

/** An unreachable sidecar says nothing about an attempt already sent. */
function describeUnsettled(error: AppError): AppError {
  if (error.result !== "runnerUnreachable") return error;
  return AppError.create("runnerFailed", error.message, { cause: error });
}
