import {
  isRequestKey,
  type QuarantinedPart,
} from "@jasminetide/core/quarantine";
import { AppError } from "@jasminetide/core/results";

/** Creates the error for a quarantined request, which has not run. */
export function createQuarantineError(
  { leftMs, partId }: QuarantinedPart,
): AppError {
  if (isRequestKey(partId)) {
    return AppError.create(
      "requestQuarantined",
      "The request has crashed several runners",
      { retryAfterMs: leftMs },
    );
  }
  return AppError.create(
    "promptQuarantined",
    `Prompt part "${partId}" has crashed several runners`,
    { retryAfterMs: leftMs },
  );
}
