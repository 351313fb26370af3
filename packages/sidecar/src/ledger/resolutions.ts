import {
  formatResolutionsObject,
  type LedgerAnswer,
  resolutionsSchema,
  type ScopedKey,
} from "@jasminetide/core/ledger";
import { normalizeError } from "@jasminetide/core/results";
import type { Logger } from "@jasminetide/runtime/logging";
import type { PlatformClient } from "@jasminetide/runtime/platform";

/** Key whose resolution is read, and the platform that stores it. */
export type ResolutionOptions = {
  service: string;
  shard: number;
  key: ScopedKey;
  platform: PlatformClient;
  logger: Logger;
};

/** Replaces an unknown outcome by the one that operators have recorded. */
export async function applyResolution(
  answer: LedgerAnswer,
  options: ResolutionOptions,
): Promise<LedgerAnswer> {
  if (answer.type !== "refused" || answer.result !== "outcomeUnknown") {
    return answer;
  }
  try {
    const stored = await options.platform.get(
      formatResolutionsObject(options.service, options.shard),
    );
    if (stored === undefined) return answer;
    const resolutions = resolutionsSchema.parse(JSON.parse(stored.value));
    const resolution = resolutions[options.key];
    if (resolution === undefined) return answer;
    const { executed, reason } = resolution;
    return {
      type: "refused",
      result: "outcomeResolved",
      executed,
      detail: reason,
    };
  } catch (thrown) {
    const { code } = normalizeError(thrown);
    options.logger.warn("ledger-resolution-unread", { code });
    return answer;
  }
}
