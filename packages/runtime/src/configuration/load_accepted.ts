import {
  acceptConfiguration,
  type AcceptedConfiguration,
  type AcceptedVersion,
  hashText,
  listPartHashes,
  parseObject,
  type Parts,
  readAcceptedVersion,
  type SplitSection,
} from "@jasminetide/core/configuration";
import { AppError } from "@jasminetide/core/results";
import type { PlatformClient, StoredObject } from "../platform/mod.ts";
import { configurationObject, getPartObject } from "./objects.ts";

/** Text of a declaration and the version that it was accepted as. */
export type VersionedText = { version: number; text: string };

/** Text of a stored declaration, and when it was accepted as what version. */
export type StoredConfiguration = AcceptedVersion & { text: string };

/** Gets parts by hash; parts that it cannot get are missing in the result. */
export type PartSource = (hashes: string[]) => Promise<Parts>;

/** Which parts to load, and those that are already available. */
export type LoadAcceptedOptions = {
  /** Parts of the current configuration, which are not fetched again. */
  knownParts?: Parts;
  /** Sections whose parts are loaded; all of them by default. */
  sections?: readonly SplitSection[] | undefined;
};

/** Maximum number of concurrent reads of parts from the platform. */
const concurrentReads = 8;

/** Loads the accepted declaration; undefined if none has been published. */
export async function loadAccepted(
  platform: PlatformClient,
  options: LoadAcceptedOptions = {},
): Promise<AcceptedConfiguration | undefined> {
  const stored = await platform.get(configurationObject);
  if (stored === undefined) return undefined;
  return completeDeclaration(readStoredConfiguration(stored), {
    ...options,
    sources: [createPlatformSource(platform)],
  });
}

/**
 * Reads the version of a declaration that the platform stores. One without a
 * version in its text has that of the object.
 */
export function readStoredConfiguration(
  { position, value }: StoredObject,
): StoredConfiguration {
  const accepted = readAcceptedVersion(parseObject(value)) ??
    { version: position.revision, storeEpoch: 0 };
  return { ...accepted, text: value };
}

/**
 * Completes a stored declaration with its parts, fetched from the sources in
 * order unless already known.
 *
 * @throws AppError `hashMismatch` when no source has a part, or a source
 * returns a text that does not match the part's hash.
 */
export async function completeDeclaration(
  stored: VersionedText,
  options: LoadAcceptedOptions & { sources: PartSource[] },
): Promise<AcceptedConfiguration> {
  const { knownParts, sections, sources } = options;
  const parts = new Map<string, string>();
  let missing: string[] = [];
  for (const hash of listPartHashes(stored.text, sections)) {
    const text = knownParts?.get(hash);
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
    hash: hashText(stored.text),
    text: stored.text,
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

/**
 * Returns the configuration.
 *
 * @throws AppError `notFound` when none has been published.
 */
export function requireAccepted(
  accepted: AcceptedConfiguration | undefined,
): AcceptedConfiguration {
  if (accepted !== undefined) return accepted;
  throw AppError.create("notFound", "No configuration has been published");
}
