import {
  formatResolutionsObject,
  type Resolution,
  resolutionSchema,
} from "@jasminetide/core/ledger";
import { AppError, normalizeError } from "@jasminetide/core/results";
import type { LedgerLocation } from "./load_shard.ts";
import {
  isInDoubt,
  type KeyReference,
  loadKey,
  type LocatedKey,
} from "./show_entry.ts";

/** A resolution that an operator records for a key. */
export type ResolveEntryOptions =
  & KeyReference
  & Omit<Resolution, "resolvedAtMs">
  & {
    nowMs: number;
  };

const maxAttempts = 5;

/** Limits the resolutions kept per shard; the oldest are removed first. */
const maxResolutions = 1000;

/**
 * Records the real outcome of a money call whose outcome is unknown, with the
 * reason. The call is never run again, whichever outcome is recorded.
 *
 * @throws AppError `invalidRequest` if the outcome is not unknown or the
 * reason is empty, `versionConflict` if it was resolved before.
 */
export async function resolveEntry(
  location: LedgerLocation,
  options: ResolveEntryOptions,
): Promise<Resolution> {
  const resolution = parseResolution(options);
  let lastError: unknown;
  for (let count = 0; count < maxAttempts; count++) {
    const located = await loadKey(location, options);
    const existing = located.loaded?.resolutions[located.scopedKey];
    if (existing !== undefined && isSame(existing, resolution)) {
      return existing;
    }
    checkResolvable(located, existing);
    try {
      await putResolution(location, located, resolution);
      return resolution;
    } catch (thrown) {
      // The next read shows whether this was a conflict or a lost answer.
      lastError = thrown;
      const { result } = normalizeError(thrown);
      if (result === "valueTooLarge") throw thrown;
    }
  }
  throw lastError;
}

async function putResolution(
  location: LedgerLocation,
  located: LocatedKey,
  resolution: Resolution,
): Promise<void> {
  const { loaded, shard, scopedKey } = located;
  const position = loaded?.resolutionsPosition;
  const kept = Object.entries(loaded?.resolutions ?? {})
    .sort(([, left], [, right]) => right.resolvedAtMs - left.resolvedAtMs)
    .slice(0, maxResolutions - 1);
  const resolutions = { ...Object.fromEntries(kept), [scopedKey]: resolution };
  await location.platform.put(
    formatResolutionsObject(location.service, shard),
    {
      value: JSON.stringify(resolutions),
      condition: position === undefined ? "absent" : { position },
    },
  );
}

function parseResolution(options: ResolveEntryOptions): Resolution {
  const result = resolutionSchema.safeParse({
    ...options,
    resolvedAtMs: options.nowMs,
  });
  if (result.success) return result.data;
  const [issue] = result.error.issues;
  throw AppError.create(
    "invalidRequest",
    `Cannot resolve: ${issue.path.join(".")}: ${issue.message}`,
  );
}

function checkResolvable(
  located: LocatedKey,
  existing: Resolution | undefined,
): void {
  if (existing !== undefined) {
    throw AppError.create(
      "versionConflict",
      `Key was resolved as "${existing.executed}" by ` +
        `${existing.resolvedBy}: ${existing.reason}`,
    );
  }
  const state = located.loaded?.entries.get(located.scopedKey)?.state;
  if (state === "unknown") return;
  if (state === undefined && isInDoubt(located)) return;
  throw AppError.create(
    "invalidRequest",
    `Outcome of the key is "${state ?? "absent"}", expected "unknown"`,
  );
}

function isSame(left: Resolution, right: Resolution): boolean {
  return left.executed === right.executed && left.reason === right.reason &&
    left.resolvedBy === right.resolvedBy &&
    left.resolvedAtMs === right.resolvedAtMs;
}
