import { formatLayoutObject, layoutSchema } from "@jasminetide/core/ledger";
import { normalizeError } from "@jasminetide/core/results";
import type { PlatformClient } from "@jasminetide/runtime/platform";

/**
 * Loads the number of shards of a service. The first sidecar stores it; it is
 * never changed, because another number would map keys to shards whose journal
 * does not contain them.
 *
 * @throws AppError `platformUnavailable`.
 */
export async function loadShardCount(
  service: string,
  options: { platform: PlatformClient; wantedCount: number },
): Promise<number> {
  const object = formatLayoutObject(service);
  const value = JSON.stringify({ shardCount: options.wantedCount });
  let stored = await options.platform.get(object);
  if (stored === undefined) {
    try {
      await options.platform.put(object, { value, condition: "absent" });
      return options.wantedCount;
    } catch (thrown) {
      if (normalizeError(thrown).result !== "versionConflict") throw thrown;
      stored = await options.platform.get(object);
    }
  }
  return layoutSchema.parse(JSON.parse(stored?.value ?? "")).shardCount;
}
