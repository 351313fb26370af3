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
import type { DeclarationBase } from "./base_file.ts";
import {
  findReplacedVersion,
  findRevertingChanges,
  loadPublications,
  recordPublication,
} from "./publications.ts";

/** Result of an attempt to apply a declaration. */
export type ApplyOutcome =
  | { type: "applied"; version: number; changes: Change[] }
  | { type: "unchanged"; version: number }
  /** Another editor has applied a change; nothing was written. */
  | {
    type: "conflict";
    /** 0 if the editor's base is unknown. */
    baseVersion: number;
    version: number;
    /** Changes of other editors; empty if the base declaration is unknown. */
    changedByOthers: Change[];
    /** Changes that the refused declaration would make to the current one. */
    changes: Change[];
  };

/** A declaration to apply and the version that it is based on. */
export type ApplyOptions = Declaration & {
  /**
   * Version that the edit is based on, if the editor names it; by default that
   * of `base`, else the current version.
   */
  baseVersion?: number;
  /** Declaration that the editor's last plan or apply read. */
  base?: DeclarationBase;
  nowMs: number;
};

const maxAttempts = 4;

/**
 * Makes a declaration the current one unless another editor has applied a
 * change since the base version. The outcome of a write whose answer was lost
 * is determined by reading the stored declaration back.
 *
 * @throws AppError `platformUnavailable` if the outcome remains unknown.
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
      baseBody: findBaseBody(options),
    });
  }
  const changes = compareDeclarations(accepted?.body, body);
  const reverting = await findUnseenReverts(platform, {
    ...options,
    accepted,
    changes,
  });
  if (reverting.length > 0) {
    const changedByOthers = reverting.map(createInverse);
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
        baseBody: accepted?.body,
      });
    }
  }
  throw AppError.create(
    "platformUnavailable",
    `Platform did not confirm the write on version ${baseVersion}; ` +
      `run "jasminetide plan" to see the current declaration`,
  );
}

/**
 * Whether another declaration was applied after the editor's base. A base
 * newer than the current version comes from before the platform was set up
 * again; no edit can be lost then.
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

/** Finds the declaration that the edit is based on, if it is known. */
function findBaseBody(options: ApplyOptions): Configuration | undefined {
  const { base, baseVersion } = options;
  const isSame = baseVersion === undefined || baseVersion === base?.version;
  return isSame ? base?.body : undefined;
}

/**
 * Finds changes that would revert recent changes of other editors which this
 * editor has not seen, because no base is known.
 */
async function findUnseenReverts(
  platform: PlatformClient,
  options: ApplyOptions & {
    accepted: AcceptedConfiguration | undefined;
    changes: Change[];
  },
): Promise<Change[]> {
  const { accepted, base, changes, nowMs } = options;
  const hasBase = options.baseVersion !== undefined ||
    (base !== undefined && base.version === accepted?.version);
  if (hasBase || accepted === undefined) return [];
  return findRevertingChanges(changes, await loadPublications(platform), {
    currentHash: hashConfiguration(accepted.body),
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

type WriteOutcome =
  | { type: "written"; version: number }
  | { type: "conflict"; accepted: AcceptedConfiguration | undefined }
  /** The base is still current: the write may be retried. */
  | { type: "not-seen" };

async function tryPut(
  platform: PlatformClient,
  options: { text: string; baseVersion: number; hash: string },
): Promise<WriteOutcome> {
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
 * Determines the outcome of a write by reading the stored declaration back.
 * If a version above the base has the same body, the declaration is current,
 * whichever editor wrote it. It may also have been current before a later edit
 * on top of it replaced it; the recorded publications show that.
 */
async function settleWrite(
  platform: PlatformClient,
  options: { baseVersion: number; hash: string },
): Promise<WriteOutcome> {
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
    baseBody: Configuration | undefined;
  },
): ApplyOutcome {
  const { baseBody, body, baseVersion } = options;
  return {
    type: "conflict",
    baseVersion,
    version: accepted?.version ?? 0,
    changedByOthers: baseBody === undefined || accepted === undefined
      ? []
      : compareDeclarations(baseBody, accepted.body),
    changes: compareDeclarations(accepted?.body, body),
  };
}
