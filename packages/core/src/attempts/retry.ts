import { AppError } from "../results/mod.ts";

/** Attribute of a request that decides whether it may be retried. */
export type RetryableRequest = { isIdempotent: boolean };

/**
 * Checks whether a request may be retried after a failed attempt: it is
 * idempotent, or the attempt is proven not to have run.
 */
export function canRetry(
  request: RetryableRequest,
  error: AppError,
): boolean {
  return request.isIdempotent || error.executed === "no";
}

/**
 * Merges the errors of all attempts at a request into the one that its caller
 * receives: the last, with `executed: "no"` only if no attempt was run.
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
