import {
  isRequestKey,
  type QuarantinedPart,
} from "@jasminetide/core/quarantine";
import { AppError } from "@jasminetide/core/results";

/**
 * Creates the error for a quarantined request, which has not run.
 *
 * @param retryAfterMs time after which its caller should come back.
 */
export function createQuarantineError(
  { partId }: QuarantinedPart,
  retryAfterMs: number,
): AppError {
  if (isRequestKey(partId)) {
    return AppError.create(
      "requestQuarantined",
      "The request has crashed several runners",
      { retryAfterMs },
    );
  }
  return AppError.create(
    "promptQuarantined",
    `Prompt part "${partId}" has crashed several runners`,
    { retryAfterMs },
  );
}
