import { AppError } from "../results/mod.ts";

/** What a decision to repeat reads of a request. */
export type RepeatableRequest = { isIdempotent: boolean };

/**
 * Whether a request may be sent again after a failed attempt: it is
 * idempotent, or the attempt is proven not run.
 */
export function canRepeat(
  request: RepeatableRequest,
  error: AppError,
): boolean {
  return request.isIdempotent || error.executed === "no";
}

/**
 * Merges the errors of all attempts at a request into the one that its caller
 * gets: the last, which says `no` only if every attempt was not run.
 */
export function mergeAttemptErrors(errors: readonly AppError[]): AppError {
  const last = errors[errors.length - 1];
  const isUncertain = errors.some((error) => error.executed !== "no");
  if (last.executed !== "no" || !isUncertain) return last;
  return AppError.create(
    last.result,
    `${last.message}; an earlier attempt may have run`,
    { executed: "unknown", retryAfterMs: last.retryAfterMs, cause: last },
  );
}
