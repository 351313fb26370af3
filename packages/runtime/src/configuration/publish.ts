import {
  formatFaults,
  type JsonObject,
  parseConfiguration,
  parseDocument,
  splitDeclaration,
  type StoredDeclaration,
} from "@jasminetide/core/configuration";
import { AppError, normalizeError } from "@jasminetide/core/results";
import * as z from "zod";
import type { PlatformClient } from "../platform/mod.ts";
import { configurationObject, getPartObject } from "./objects.ts";

/** What is published. */
export type PublishOptions = {
  /** Text of `fleet.jsonc`; fields of newer products are kept. */
  text: string;
  /** Version that the change was made from; 0 for the first declaration. */
  expectedVersion: number;
  /** File named in faults. */
  file?: string;
};

/** Result of a publication. */
export type Publication = {
  version: number;
  /** Parts that the platform did not have. */
  partsWritten: number;
};

/** Tries after which a write without an answer is given up. */
const maximumTries = 5;

/**
 * Makes a declaration the accepted one, if the accepted one still is the one
 * that it was made from.
 *
 * @throws AppError `versionConflict` when another was accepted meanwhile,
 * `invalidConfiguration` with every fault, `platformUnavailable` when the
 * outcome could not be found out.
 */
export async function publishConfiguration(
  platform: PlatformClient,
  options: PublishOptions,
): Promise<Publication> {
  const stored = splitDeclaration(parseRaw(options));
  const partsWritten = await putParts(platform, stored);
  const version = await putManifest(platform, {
    text: stored.text,
    expectedVersion: options.expectedVersion,
  });
  return { version, partsWritten };
}

function parseRaw(options: PublishOptions): JsonObject {
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

/** Writes the parts before the manifest that names them. */
async function putParts(
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
  for (let tries = 1;; tries++) {
    try {
      await platform.put(object, { value, condition: "absent" });
      return;
    } catch (thrown) {
      const error = normalizeError(thrown);
      // A part is named by its content, so what is there is the same.
      if (error.result === "versionConflict") return;
      if (!isRetryable(error) || tries >= maximumTries) throw error;
    }
  }
}

/** Writes the manifest; a lost answer is settled by reading back. */
async function putManifest(
  platform: PlatformClient,
  options: { text: string; expectedVersion: number },
): Promise<number> {
  const { expectedVersion, text } = options;
  const condition = expectedVersion === 0
    ? "absent"
    : { version: expectedVersion };
  for (let tries = 1;; tries++) {
    try {
      return await platform.put(configurationObject, {
        value: text,
        condition,
      });
    } catch (thrown) {
      const error = normalizeError(thrown);
      const version = await findOwnWrite(platform, options, {
        hasRetried: tries > 1,
        result: error.result,
      });
      if (version !== undefined) return version;
      if (!isRetryable(error) || tries >= maximumTries) throw error;
    }
  }
}

/** Gets the version of this declaration if the platform holds it. */
async function findOwnWrite(
  platform: PlatformClient,
  options: { text: string; expectedVersion: number },
  attempt: { hasRetried: boolean; result: string },
): Promise<number | undefined> {
  // A conflict at the first try cannot be with the own write.
  if (attempt.result === "versionConflict" && !attempt.hasRetried) {
    return undefined;
  }
  try {
    const stored = await platform.get(configurationObject);
    if (stored?.value !== options.text) return undefined;
    return stored.version > options.expectedVersion
      ? stored.version
      : undefined;
  } catch {
    return undefined;
  }
}

function isRetryable(error: { result: string }): boolean {
  return error.result === "platformUnavailable" ||
    error.result === "platformLimited";
}
