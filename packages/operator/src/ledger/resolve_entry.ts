import {
  formatResolutionsObject,
  type Resolution,
  resolutionSchema,
} from "@jasminetide/core/ledger";
import { AppError, normalizeError } from "@jasminetide/core/results";
import type { LedgerLocation } from "./load_shard.ts";
import {
  isInDoubt,
  type KeyName,
  loadKey,
  type LocatedKey,
} from "./show_entry.ts";

/** What operators found out. */
export type ResolveEntryOptions = KeyName & Omit<Resolution, "resolvedAtMs"> & {
  nowMs: number;
};

const maxTries = 5;

/** Resolutions of a shard that are kept, the newest ones. */
const maxResolutions = 1000;

/**
 * Records what became of an unknown outcome, with the reason. The key is
 * never run again, whatever was found.
 *
 * @throws AppError `invalidRequest` when the outcome is not unknown or the
 * reason is empty, `versionConflict` when it was resolved before.
 */
export async function resolveEntry(
  location: LedgerLocation,
  options: ResolveEntryOptions,
): Promise<Resolution> {
  const resolution = parseResolution(options);
  let lastError: unknown;
  for (let count = 0; count < maxTries; count++) {
    const located = await loadKey(location, options);
    const known = located.loaded?.resolutions[located.scopedKey];
    if (known !== undefined && isSame(known, resolution)) return known;
    checkResolvable(located, known);
    try {
      await putResolution(location, located, resolution);
      return resolution;
    } catch (thrown) {
      // A conflict or a lost answer: the next read tells which.
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
  const version = loaded?.resolutionsVersion ?? 0;
  const kept = Object.entries(loaded?.resolutions ?? {})
    .sort(([, left], [, right]) => right.resolvedAtMs - left.resolvedAtMs)
    .slice(0, maxResolutions - 1);
  const resolutions = { ...Object.fromEntries(kept), [scopedKey]: resolution };
  await location.platform.put(
    formatResolutionsObject(location.service, shard),
    {
      value: JSON.stringify(resolutions),
      condition: version === 0 ? "absent" : { version },
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
  known: Resolution | undefined,
): void {
  if (known !== undefined) {
    throw AppError.create(
      "versionConflict",
      `Key was resolved as "${known.executed}" by ${known.resolvedBy}: ` +
        known.reason,
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
