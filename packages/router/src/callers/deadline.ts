import type { IncomingMessage } from "node:http";
import { AppError } from "@jasminetide/core/results";

/** Header with the time limit of a request in milliseconds. */
export const timeoutHeader = "x-request-timeout-ms";

/** Longest time limit that a caller may set: one hour. */
const maxDeadlineMs = 3_600_000;

/**
 * Gets the time that a request may take, in milliseconds, from its header or
 * the default.
 *
 * @throws AppError `invalidDeadline`.
 */
export function getDeadlineMs(
  request: IncomingMessage,
  defaultMs: number,
): number {
  const text = request.headers[timeoutHeader];
  if (text === undefined) return defaultMs;
  const value = Number(text);
  if (Number.isInteger(value) && value > 0 && value <= maxDeadlineMs) {
    return value;
  }
  throw AppError.create(
    "invalidDeadline",
    `${timeoutHeader} is "${text}", expected 1 to ${maxDeadlineMs}`,
  );
}
