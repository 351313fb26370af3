/**
 * Stores in the platform what the last publications changed, so that an editor
 * who has not seen them does not revert them by accident. Values are stored as
 * hashes. The list only serves to detect such reverts and to find the version
 * of a write whose answer was lost.
 */
import { createHash } from "node:crypto";
import { formatCanonical } from "@jasminetide/core/configuration";
import { AppError, normalizeError } from "@jasminetide/core/results";
import type {
  PlatformClient,
  WriteCondition,
} from "@jasminetide/runtime/platform";
import { z } from "zod";
import type { Change } from "../changes/mod.ts";

const publicationsObject = { kind: "configuration-changes", name: "fleet" };

const publicationSchema = z.object({
  /** Hash of the declaration to be published. */
  hash: z.string(),
  /** Version and hash of the declaration to be replaced. */
  baseVersion: z.number().int().nonnegative(),
  baseHash: z.string(),
  announcedAtMs: z.number(),
  /** Hash of each replaced value, by path. */
  before: z.record(z.string(), z.string()),
});

/** The changes of one publication. */
export type Publication = z.output<typeof publicationSchema>;

const publicationsSchema = z.array(publicationSchema);

const maxPublications = 16;
const maxChanges = 500;
const maxAttempts = 4;

/**
 * How long a publication counts as recent, so that other editors may not have
 * seen it yet.
 */
const recentPublicationMs = 600_000;

/** Loads the changes of the last publications. */
export async function loadPublications(
  platform: PlatformClient,
): Promise<Publication[]> {
  return (await loadStored(platform)).publications;
}

async function loadStored(platform: PlatformClient) {
  const stored = await platform.get(publicationsObject);
  if (stored === undefined) {
    return { condition: "absent" as const, publications: [] };
  }
  const result = publicationsSchema.safeParse(JSON.parse(stored.value));
  const publications = result.success ? result.data : [];
  return { condition: { position: stored.position }, publications };
}

/**
 * Records a publication before it is made, so that none is ever missing.
 *
 * @throws AppError `platformUnavailable` if the record cannot be written.
 */
export async function recordPublication(
  platform: PlatformClient,
  options: {
    hash: string;
    baseVersion: number;
    baseHash: string;
    changes: readonly Change[];
    nowMs: number;
  },
): Promise<void> {
  const { changes, nowMs: announcedAtMs, ...identity } = options;
  const before = Object.fromEntries(
    changes.slice(0, maxChanges).map((change) => [
      change.path,
      hashValue(change.before),
    ]),
  );
  for (let attempt = 1; attempt <= maxAttempts; attempt += 1) {
    const { condition, publications } = await loadStored(platform);
    const isAnnounced = publications.some((entry) =>
      entry.hash === identity.hash && entry.announcedAtMs === announcedAtMs
    );
    // An earlier attempt succeeded, but its answer was lost.
    if (isAnnounced) return;
    const kept = publications.slice(-(maxPublications - 1));
    const value = JSON.stringify([
      ...kept,
      { ...identity, announcedAtMs, before },
    ]);
    if (await tryPut(platform, { value, condition })) return;
  }
  throw AppError.create(
    "platformUnavailable",
    "Platform did not store the record of the publication; " +
      "nothing was applied",
  );
}

/**
 * Finds the version that a declaration had, above its base, before a later
 * publication replaced it. The later publication records that version as its
 * own base.
 */
export function findReplacedVersion(
  publications: readonly Publication[],
  own: { hash: string; baseVersion: number },
): number | undefined {
  return publications.find((entry) =>
    entry.baseHash === own.hash && entry.baseVersion > own.baseVersion
  )?.baseVersion;
}

async function tryPut(
  platform: PlatformClient,
  options: { value: string; condition: WriteCondition },
): Promise<boolean> {
  try {
    await platform.put(publicationsObject, options);
    return true;
  } catch (thrown) {
    const { result } = normalizeError(thrown);
    if (result === "versionConflict" || result === "platformUnavailable") {
      return false;
    }
    throw thrown;
  }
}

/** Finds changes that would revert those of recent publications. */
export function findRevertingChanges(
  changes: readonly Change[],
  publications: readonly Publication[],
  options: { currentHash: string; nowMs: number },
): Change[] {
  const recent = publications.filter((entry) =>
    entry.hash === options.currentHash ||
    entry.announcedAtMs > options.nowMs - recentPublicationMs
  );
  return changes.filter((change) =>
    recent.some((entry) =>
      entry.before[change.path] === hashValue(change.after)
    )
  );
}

function hashValue(value: unknown): string {
  return createHash("sha256").update(formatCanonical(value ?? null))
    .digest("hex");
}
