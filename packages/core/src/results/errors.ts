import ModernError, { type InstanceOptions } from "modern-errors";
import { type Executed, resultCodes, type ResultName } from "./codes.ts";

/** Optional properties of an error. */
export type AppErrorOptions = {
  /** Overrides the `executed` value of the result code. */
  executed?: Executed;
  /** Time after which the caller may retry. */
  retryAfterMs?: number | undefined;
  /** The error that caused this one. */
  cause?: unknown;
};

type ErrorState = InstanceOptions & AppErrorOptions & { result?: ResultName };

const BaseError = ModernError.subclass("BaseError");

class CustomError extends BaseError {
  readonly result: ResultName;
  readonly executed: Executed;
  readonly retryAfterMs: number | undefined;
  /** Number of the result code. */
  readonly code: number;
  /** HTTP status of the result code. */
  readonly status: number;

  constructor(message = "", state?: ErrorState) {
    // Passed a cause, the base class would copy its properties, such as the
    // `code` of a system error.
    super(message, { ...state, cause: undefined });
    if (state?.cause !== undefined) setCause(this, state.cause);
    this.result = state?.result ?? "internal";
    const row = resultCodes[this.result];
    this.code = row.code;
    this.status = row.status;
    this.executed = state?.executed ?? row.executed;
    this.retryAfterMs = state?.retryAfterMs;
  }

  /** Creates an error for a result code. */
  static create(
    result: ResultName,
    message: string,
    options: AppErrorOptions = {},
  ): CustomError {
    return new AppError(message, { ...options, result });
  }
}

function setCause(error: Error, cause: unknown): void {
  Object.defineProperty(error, "cause", {
    value: cause,
    configurable: true,
    enumerable: false,
    writable: true,
  });
}

/** An error with a numbered result code. */
export const AppError = BaseError.subclass("AppError", { custom: CustomError });

/** An error with a numbered result code. */
export type AppError = CustomError;

/** Problem document for callers (RFC 9457). */
export type Problem = {
  type: string;
  title: string;
  status: number;
  detail: string;
  code: number;
  executed: Executed;
  /** The same error in the format of OpenAI clients. */
  error: { message: string; type: string; code: string };
};

/** Formats an error as a problem document. */
export function formatProblem(error: AppError): Problem {
  const { code, status, title } = resultCodes[error.result];
  return {
    type: `urn:jasminetide:result:${code}`,
    title,
    status,
    detail: error.message,
    code,
    executed: error.executed,
    error: { message: error.message, type: error.result, code: String(code) },
  };
}

/**
 * Parses a problem document of another process into an error. A code that this
 * version does not define becomes `runnerFailed`.
 *
 * @param retryAfter value of the `Retry-After` header, in seconds.
 */
export function parseProblem(
  text: string,
  retryAfter: string | string[] | undefined,
): AppError {
  const problem = JSON.parse(text) as Problem;
  const names = Object.keys(resultCodes) as ResultName[];
  const result = names.find((name) => resultCodes[name].code === problem.code);
  const seconds = Number(retryAfter);
  return AppError.create(result ?? "runnerFailed", problem.detail, {
    executed: problem.executed,
    ...(Number.isFinite(seconds) ? { retryAfterMs: seconds * 1000 } : {}),
  });
}

/** Converts any thrown value to an error; `internal` unless it has a code. */
export function normalizeError(thrown: unknown): AppError {
  if (thrown instanceof AppError) return thrown;
  const message = thrown instanceof Error ? thrown.message : String(thrown);
  return AppError.create("internal", message, { cause: thrown });
}
