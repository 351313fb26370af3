import {
  type AcceptedVersion,
  addAcceptedVersion,
  formatFaults,
  getNextVersion,
  type JsonObject,
  parseConfiguration,
  parseDocument,
  splitDeclaration,
  type StoredDeclaration,
} from "@jasminetide/core/configuration";
import { AppError, normalizeError } from "@jasminetide/core/results";
import * as z from "zod";
import type { PlatformClient, WriteCondition } from "../platform/mod.ts";
import { readStoredConfiguration } from "./load_accepted.ts";
import { configurationObject, getPartObject } from "./objects.ts";

/** A declaration to publish, and the version it is based on. */
export type PublishOptions = {
  /** Text of `fleet.jsonc`; fields of newer versions are kept. */
  text: string;
  /** Version that was edited; 0 for the first declaration. */
  expectedVersion: number;
  /** File name for fault messages. */
  file?: string;
};

/** Result of publishing a declaration. */
export type Publication = {
  version: number;
  /** Number of parts that the platform did not have. */
  partsWritten: number;
};

/** Attempts after which a write that gets no answer fails. */
const maximumAttempts = 5;

/**
 * Publishes a declaration if the accepted version is still the one that it is
 * based on.
 *
 * @throws AppError `versionConflict` when another declaration was accepted in
 * the meantime, `invalidConfiguration` with a list of all faults, and
 * `platformUnavailable` when the outcome is unknown.
 */
export async function publishConfiguration(
  platform: PlatformClient,
  options: PublishOptions,
): Promise<Publication> {
  const stored = splitDeclaration(parseRawDeclaration(options));
  const partsWritten = await putParts(platform, stored);
  const version = await putManifest(platform, {
    text: stored.text,
    expectedVersion: options.expectedVersion,
  });
  return { version, partsWritten };
}

function parseRawDeclaration(options: PublishOptions): JsonObject {
  const file = options.file ?? "fleet.jsonc";
  const checked = parseConfiguration(options.text, file);
  if (checked.type === "faulty") {
    throw AppError.create("invalidConfiguration", formatFaults(checked.faults));
  }
  const raw = parseDocument(options.text, {
    file,
    schema: z.record(z.string(), z.json()),
  });
  if (raw.type === "parsed") return raw.value as JsonObject;
  throw AppError.create("invalidConfiguration", formatFaults(raw.faults));
}

/** Writes the missing parts; they must exist before the manifest does. */
export async function putParts(
  platform: PlatformClient,
  stored: StoredDeclaration,
): Promise<number> {
  if (stored.parts.size === 0) return 0;
  const known = new Set(
    (await platform.list(getPartObject("").kind)).map(({ name }) => name),
  );
  let written = 0;
  for (const [hash, text] of stored.parts) {
    if (known.has(hash)) continue;
    await putPart(platform, hash, text);
    written += 1;
  }
  return written;
}

async function putPart(
  platform: PlatformClient,
  hash: string,
  value: string,
): Promise<void> {
  const object = getPartObject(hash);
  for (let attempt = 1;; attempt++) {
    try {
      await platform.put(object, { value, condition: "absent" });
      return;
    } catch (thrown) {
      const error = normalizeError(thrown);
      // Parts are named by the hash of their content: the stored one is equal.
      if (error.result === "versionConflict") return;
      if (!isRetryable(error) || attempt >= maximumAttempts) throw error;
    }
  }
}

/** Writes the manifest; if an answer is lost, reads back the outcome. */
async function putManifest(
  platform: PlatformClient,
  options: { text: string; expectedVersion: number },
): Promise<number> {
  const { expectedVersion, text } = options;
  let ownText: string | undefined;
  for (let attempt = 1;; attempt++) {
    try {
      const base = await loadBase(platform, expectedVersion);
      const value = addAcceptedVersion(text, base.next);
      ownText = value;
      await platform.put(configurationObject, {
        value,
        condition: base.condition,
      });
      return base.next.version;
    } catch (thrown) {
      const error = normalizeError(thrown);
      const version = await findOwnWrite(platform, ownText, {
        isRetry: attempt > 1,
        result: error.result,
      });
      if (version !== undefined) return version;
      if (!isRetryable(error) || attempt >= maximumAttempts) throw error;
    }
  }
}

/** Manifest that is replaced, as the condition of a write, and what follows. */
type PublicationBase = { condition: WriteCondition; next: AcceptedVersion };

/**
 * Loads the manifest, which must have a version.
 *
 * @throws AppError `versionConflict` if it has another one.
 */
async function loadBase(
  platform: PlatformClient,
  expectedVersion: number,
): Promise<PublicationBase> {
  const stored = await platform.get(configurationObject);
  const last = stored === undefined
    ? { version: 0, storeEpoch: 0 }
    : readStoredConfiguration(stored);
  const { version } = last;
  if (version !== expectedVersion) {
    throw AppError.create(
      "versionConflict",
      `Configuration is at version ${version}, expected ${expectedVersion}`,
    );
  }
  return {
    condition: stored === undefined ? "absent" : { position: stored.position },
    next: getNextVersion(last, stored?.position.epoch ?? platform.epoch),
  };
}

/** Gets the version of this declaration if a write of it took effect. */
async function findOwnWrite(
  platform: PlatformClient,
  ownText: string | undefined,
  failure: { isRetry: boolean; result: string },
): Promise<number | undefined> {
  // At the first attempt, the conflict cannot be with an own earlier write.
  if (failure.result === "versionConflict" && !failure.isRetry) {
    return undefined;
  }
  try {
    const stored = await platform.get(configurationObject);
    if (stored === undefined || stored.value !== ownText) return undefined;
    return readStoredConfiguration(stored).version;
  } catch {
    return undefined;
  }
}

function isRetryable(error: { result: string }): boolean {
  return error.result === "platformUnavailable" ||
    error.result === "platformLimited";
}
