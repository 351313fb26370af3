/**
 * Keeps in the platform what the last publications changed, so that an editor
 * who has never seen them does not undo them unawares. Values are kept as
 * hashes; the list is a hint for people and decides nothing else.
 */
import { createHash } from "node:crypto";
import { formatCanonical } from "@jasminetide/core/configuration";
import { AppError, normalizeError } from "@jasminetide/core/results";
import type { PlatformClient } from "@jasminetide/runtime/platform";
import { z } from "zod";
import type { Change } from "../changes/mod.ts";

const recentObject = { kind: "configuration-changes", name: "fleet" };

const publicationSchema = z.object({
  /** Hash of the declaration that was about to be published. */
  hash: z.string(),
  /** Version and hash of the declaration that it was to replace. */
  baseVersion: z.number().int().nonnegative(),
  baseHash: z.string(),
  announcedAtMs: z.number(),
  /** Hash of the value before, by path. */
  before: z.record(z.string(), z.string()),
});

/** What one publication changed. */
export type Publication = z.output<typeof publicationSchema>;

const publicationsSchema = z.array(publicationSchema);

const maxPublications = 16;
const maxChanges = 500;
const maxAttempts = 4;

/** Publications of other editors that an editor may not know of yet. */
const recentMs = 600_000;

/** Loads what the last publications changed. */
export async function loadPublications(
  platform: PlatformClient,
): Promise<Publication[]> {
  return (await load(platform)).publications;
}

async function load(platform: PlatformClient) {
  const stored = await platform.get(recentObject);
  if (stored === undefined) return { version: 0, publications: [] };
  const result = publicationsSchema.safeParse(JSON.parse(stored.value));
  const publications = result.success ? result.data : [];
  return { version: stored.version, publications };
}

/** Announces a publication before it is made, so that it is never missed. */
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
    const { version, publications } = await load(platform);
    const isAnnounced = publications.some((entry) =>
      entry.hash === identity.hash && entry.announcedAtMs === announcedAtMs
    );
    // The answer to an earlier try was lost.
    if (isAnnounced) return;
    const kept = publications.slice(-(maxPublications - 1));
    const value = JSON.stringify([
      ...kept,
      { ...identity, announcedAtMs, before },
    ]);
    if (await tryPut(platform, { value, version })) return;
  }
  throw AppError.create(
    "platformUnavailable",
    "Platform did not take the announcement; nothing was applied",
  );
}

/**
 * Finds the version at which a declaration was in force above a base, told by
 * a later publication that was made on top of it.
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
  options: { value: string; version: number },
): Promise<boolean> {
  const { value, version } = options;
  try {
    const condition = version === 0 ? "absent" as const : { version };
    await platform.put(recentObject, { value, condition });
    return true;
  } catch (thrown) {
    const { result } = normalizeError(thrown);
    if (result === "versionConflict" || result === "platformUnavailable") {
      return false;
    }
    throw thrown;
  }
}

/** Finds changes that would undo what recent publications changed. */
export function findUndone(
  changes: readonly Change[],
  publications: readonly Publication[],
  options: { inForceHash: string; nowMs: number },
): Change[] {
  const recent = publications.filter((entry) =>
    entry.hash === options.inForceHash ||
    entry.announcedAtMs > options.nowMs - recentMs
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
