import {
  acceptConfiguration,
  type AcceptedConfiguration,
  hashText,
  listPartHashes,
  type Parts,
  type SplitSection,
} from "@jasminetide/core/configuration";
import { AppError } from "@jasminetide/core/results";
import type { PlatformClient, StoredObject } from "../platform/mod.ts";
import { configurationObject, getPartObject } from "./objects.ts";

/** Gets parts by hash; what it cannot get is absent from the result. */
export type PartSource = (hashes: string[]) => Promise<Parts>;

/** What is known before a configuration is loaded. */
export type LoadOptions = {
  /** Parts of the configuration in force, not fetched again. */
  known?: Parts;
  /** Long sections that this process needs; all unless given. */
  sections?: readonly SplitSection[] | undefined;
};

/** Part requests to the platform that run at once. */
const concurrentReads = 8;

/** Loads the accepted declaration, or undefined where there is none. */
export async function loadAccepted(
  platform: PlatformClient,
  options: LoadOptions = {},
): Promise<AcceptedConfiguration | undefined> {
  const stored = await platform.get(configurationObject);
  if (stored === undefined) return undefined;
  return completeStored(stored, {
    ...options,
    sources: [createPlatformSource(platform)],
  });
}

/**
 * Completes a stored declaration with the parts that are not known yet.
 *
 * @throws AppError `hashMismatch` when no source has a part, or another text
 * under its name.
 */
export async function completeStored(
  stored: StoredObject,
  options: LoadOptions & { sources: PartSource[] },
): Promise<AcceptedConfiguration> {
  const { known, sections, sources } = options;
  const parts = new Map<string, string>();
  let missing: string[] = [];
  for (const hash of listPartHashes(stored.value, sections)) {
    const text = known?.get(hash);
    if (text === undefined) missing.push(hash);
    else parts.set(hash, text);
  }
  for (const source of sources) {
    if (missing.length === 0) break;
    for (const [hash, text] of await source(missing)) parts.set(hash, text);
    missing = missing.filter((hash) => !parts.has(hash));
  }
  return acceptConfiguration({
    version: stored.version,
    hash: hashText(stored.value),
    text: stored.value,
    parts,
    sections,
  });
}

/** Creates a source that reads parts from the platform. */
export function createPlatformSource(platform: PlatformClient): PartSource {
  return async (hashes) => {
    const parts = new Map<string, string>();
    for (let begin = 0; begin < hashes.length; begin += concurrentReads) {
      const batch = hashes.slice(begin, begin + concurrentReads);
      const rows = await Promise.all(
        batch.map((hash) => platform.get(getPartObject(hash))),
      );
      rows.forEach((row, index) => {
        if (row !== undefined) parts.set(batch[index], row.value);
      });
    }
    return parts;
  };
}

/** Throws where a configuration was asked for and there is none. */
export function requireAccepted(
  accepted: AcceptedConfiguration | undefined,
): AcceptedConfiguration {
  if (accepted !== undefined) return accepted;
  throw AppError.create("notFound", "No configuration was ever published");
}
