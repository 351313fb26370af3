import type { QuarantinedPart } from "@jasminetide/core/quarantine";
import { AppError } from "@jasminetide/core/results";

/** Creates the error for a prompt with a quarantined part, which has not run. */
export function createQuarantineError(
  { leftMs, partId }: QuarantinedPart,
): AppError {
  return AppError.create(
    "promptQuarantined",
    `Prompt part "${partId}" has crashed several runners`,
    { retryAfterMs: leftMs },
  );
}
