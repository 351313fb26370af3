import {
  type AcceptedConfiguration,
  type Configuration,
  hashConfiguration,
} from "@jasminetide/core/configuration";
import { AppError, normalizeError } from "@jasminetide/core/results";
import type { PlatformClient } from "@jasminetide/runtime/platform";
import { type Change, compareDeclarations } from "../changes/mod.ts";
import {
  type Declaration,
  loadDeclaration,
  putDeclaration,
} from "../declaration/mod.ts";
import type { Base } from "./base_file.ts";
import {
  findReplacedVersion,
  findUndone,
  loadPublications,
  recordPublication,
} from "./recent_changes.ts";

/** What became of an attempt to apply a declaration. */
export type ApplyOutcome =
  | { type: "applied"; version: number; changes: Change[] }
  | { type: "unchanged"; version: number }
  /** Another editor was first; nothing was written. */
  | {
    type: "conflict";
    /** 0 where the editor's base is not known. */
    baseVersion: number;
    version: number;
    /** What the other editor changed, where the base is still known. */
    changedByOthers: Change[];
    /** What the refused declaration would change now. */
    changes: Change[];
  };

/** What to apply, and on top of which version. */
export type ApplyOptions = Declaration & {
  /** Version that the editor has seen; the one in force unless given. */
  baseVersion?: number;
  /** Version that the editor's last plan or apply has seen. */
  base?: Base;
  nowMs: number;
};

const maxAttempts = 4;

/**
 * Makes a declaration the one in force if no other came first. A write whose
 * answer was lost is settled by reading back.
 *
 * @throws AppError `platformUnavailable` when the outcome stays unknown.
 */
export async function applyDeclaration(
  platform: PlatformClient,
  options: ApplyOptions,
): Promise<ApplyOutcome> {
  const { body } = options;
  const accepted = await loadDeclaration(platform);
  const hash = hashConfiguration(body);
  if (accepted !== undefined && hashConfiguration(accepted.body) === hash) {
    return { type: "unchanged", version: accepted.version };
  }
  const baseVersion = accepted?.version ?? 0;
  if (isOutdated(accepted, options)) {
    return createConflict(accepted, {
      body,
      baseVersion: options.baseVersion ?? options.base?.version ?? 0,
      seen: findSeen(options),
    });
  }
  const changes = compareDeclarations(accepted?.body, body);
  const undone = await findUnseen(platform, { ...options, accepted, changes });
  if (undone.length > 0) {
    const changedByOthers = undone.map(createInverse);
    const version = baseVersion;
    return {
      type: "conflict",
      baseVersion: 0,
      version,
      changedByOthers,
      changes,
    };
  }
  await recordPublication(platform, {
    hash,
    baseVersion,
    baseHash: accepted === undefined ? "" : hashConfiguration(accepted.body),
    changes,
    nowMs: options.nowMs,
  });
  for (let attempt = 1; attempt <= maxAttempts; attempt += 1) {
    const settled = await tryPut(platform, {
      text: options.text,
      baseVersion,
      hash,
    });
    if (settled.type === "written") {
      return { type: "applied", version: settled.version, changes };
    }
    if (settled.type === "conflict") {
      return createConflict(settled.accepted, {
        body,
        baseVersion,
        seen: accepted?.body,
      });
    }
  }
  throw AppError.create(
    "platformUnavailable",
    `Platform did not confirm the write on version ${baseVersion}; ` +
      `run "jasminetide plan" to see what is in force`,
  );
}

/**
 * Whether others have applied something since the editor looked. A base newer
 * than what is in force is of a platform that has been set up anew, where
 * nothing can be lost.
 */
function isOutdated(
  accepted: AcceptedConfiguration | undefined,
  options: ApplyOptions,
): boolean {
  const version = accepted?.version ?? 0;
  if (options.baseVersion !== undefined) return options.baseVersion !== version;
  const { base } = options;
  if (base === undefined || base.version > version) return false;
  return base.version !== version || base.hash !== (accepted?.hash ?? "");
}

/** The declaration that the editor started from, where it is known. */
function findSeen(options: ApplyOptions): Configuration | undefined {
  const { base, baseVersion } = options;
  const isSame = baseVersion === undefined || baseVersion === base?.version;
  return isSame ? base?.body : undefined;
}

/** Finds recent changes of others that an editor without a base undoes. */
async function findUnseen(
  platform: PlatformClient,
  options: ApplyOptions & {
    accepted: AcceptedConfiguration | undefined;
    changes: Change[];
  },
): Promise<Change[]> {
  const { accepted, base, changes, nowMs } = options;
  const isSeen = options.baseVersion !== undefined ||
    (base !== undefined && base.version === accepted?.version);
  if (isSeen || accepted === undefined) return [];
  return findUndone(changes, await loadPublications(platform), {
    inForceHash: hashConfiguration(accepted.body),
    nowMs,
  });
}

function createInverse(change: Change): Change {
  const { before: after, after: before, ...rest } = change;
  const type = change.type === "changed"
    ? "changed"
    : change.type === "added"
    ? "removed"
    : "added";
  return { ...rest, type, before, after };
}

type Settled =
  | { type: "written"; version: number }
  | { type: "conflict"; accepted: AcceptedConfiguration | undefined }
  /** The base is still in force: the write may be tried again. */
  | { type: "not-seen" };

async function tryPut(
  platform: PlatformClient,
  options: { text: string; baseVersion: number; hash: string },
): Promise<Settled> {
  try {
    const version = await putDeclaration(platform, options);
    return { type: "written", version };
  } catch (thrown) {
    const error = normalizeError(thrown);
    const isUnsettled = error.result === "platformUnavailable" ||
      error.result === "versionConflict";
    if (!isUnsettled) throw error;
    return await settleWrite(platform, options);
  }
}

/**
 * Reads back. A body equal to ours above the base means that the declared
 * intent is in force, whoever wrote it. Ours may also have been in force and
 * been replaced by an edit made on top of it.
 */
async function settleWrite(
  platform: PlatformClient,
  options: { baseVersion: number; hash: string },
): Promise<Settled> {
  let accepted: AcceptedConfiguration | undefined;
  try {
    accepted = await loadDeclaration(platform);
  } catch (thrown) {
    if (normalizeError(thrown).result !== "platformUnavailable") throw thrown;
    return { type: "not-seen" };
  }
  const version = accepted?.version ?? 0;
  if (version === options.baseVersion) return { type: "not-seen" };
  const isOurs = accepted !== undefined &&
    hashConfiguration(accepted.body) === options.hash;
  if (isOurs) return { type: "written", version };
  const replaced = findReplacedVersion(
    await loadPublications(platform),
    options,
  );
  return replaced === undefined
    ? { type: "conflict", accepted }
    : { type: "written", version: replaced };
}

function createConflict(
  accepted: AcceptedConfiguration | undefined,
  options: {
    body: Configuration;
    baseVersion: number;
    seen: Configuration | undefined;
  },
): ApplyOutcome {
  const { seen, body, baseVersion } = options;
  return {
    type: "conflict",
    baseVersion,
    version: accepted?.version ?? 0,
    changedByOthers: seen === undefined || accepted === undefined
      ? []
      : compareDeclarations(seen, accepted.body),
    changes: compareDeclarations(accepted?.body, body),
  };
}
