import { createHash } from "node:crypto";
import * as z from "zod";
import { hash32 } from "../hashing/mod.ts";
import { AppError } from "../results/mod.ts";
import { removeAcceptedVersion } from "./accepted_version.ts";
import { isJsonObject, type Json, type JsonObject } from "./json.ts";
import { formatCanonical } from "./parse.ts";

/** Sections of a declaration that may be long lists, stored in parts. */
export const splitSections = ["workspaces", "exceptions"] as const;

/** A section that is stored in parts. */
export type SplitSection = typeof splitSections[number];

/** Texts of parts by hash. */
export type Parts = ReadonlyMap<string, string>;

/** A stored declaration: unsplit, or a manifest and its parts. */
export type StoredDeclaration = { text: string; parts: Parts };

/** Options for splitting a declaration. */
export type SplitOptions = {
  /** Size up to which a declaration is stored unsplit. */
  maximumUnsplitBytes?: number;
  /** Mean number of list entries per part. */
  meanPartEntries?: number;
};

const defaultMaximumUnsplitBytes = 65_536;
const defaultMeanPartEntries = 64;
const partHashBytes = 16;

/** Name of the field that distinguishes a manifest from a declaration. */
const manifestField = "manifest";

/**
 * Splits a declaration into a manifest and content-addressed parts. Part
 * boundaries are content-defined: a part ends after an entry whose key hashes
 * to a multiple of the mean part length, so that a change moves only the
 * adjacent boundaries.
 */
export function splitDeclaration(
  body: JsonObject,
  options: SplitOptions = {},
): StoredDeclaration {
  const unsplit = JSON.stringify(body);
  const limit = options.maximumUnsplitBytes ?? defaultMaximumUnsplitBytes;
  if (unsplit.length <= limit) return { text: unsplit, parts: new Map() };
  const parts = new Map<string, string>();
  const manifest: JsonObject = {};
  const base: JsonObject = { ...body };
  for (const section of splitSections) {
    const entries = body[section];
    if (!Array.isArray(entries)) continue;
    delete base[section];
    manifest[section] = splitEntries(entries, options).map((part) =>
      addPart(parts, part)
    );
  }
  manifest["base"] = addPart(parts, base);
  return { text: JSON.stringify({ [manifestField]: manifest }), parts };
}

/** Lists the hashes of the parts that a stored text refers to. */
export function listPartHashes(
  text: string,
  sections: readonly SplitSection[] = splitSections,
): string[] {
  const manifest = readManifest(parseObject(text));
  if (manifest === undefined) return [];
  return [
    manifest.base,
    ...sections.flatMap((section) => manifest[section] ?? []),
  ];
}

/**
 * Joins a stored text and its parts into a declaration. Split sections that are
 * not requested are empty.
 *
 * @throws AppError `hashMismatch` if a part is absent or does not match its
 * hash, `invalidConfiguration` if a text is malformed.
 */
export function joinDeclaration(
  stored: StoredDeclaration,
  sections: readonly SplitSection[] = splitSections,
): JsonObject {
  const object = parseObject(stored.text);
  const manifest = readManifest(object);
  if (manifest === undefined) return removeAcceptedVersion(object);
  const body = { ...parseObject(requirePart(stored.parts, manifest.base)) };
  for (const section of splitSections) {
    const hashes = manifest[section];
    if (hashes === undefined) continue;
    body[section] = sections.includes(section)
      ? hashes.flatMap((hash) => parseEntries(requirePart(stored.parts, hash)))
      : [];
  }
  return body;
}

/** Hashes a stored text (SHA-256, hexadecimal). */
export function hashText(text: string): string {
  return createHash("sha256").update(text).digest("hex");
}

/** Hashes a part (SHA-256 truncated to 128 bits, base64url). */
export function hashPart(text: string): string {
  return createHash("sha256").update(text).digest()
    .subarray(0, partHashBytes).toString("base64url");
}

const manifestSchema = z.object({
  base: z.string(),
  workspaces: z.array(z.string()).optional(),
  exceptions: z.array(z.string()).optional(),
});

type Manifest = z.output<typeof manifestSchema>;

function splitEntries(entries: Json[], options: SplitOptions): Json[][] {
  const meanEntries = options.meanPartEntries ?? defaultMeanPartEntries;
  const parts: Json[][] = [];
  let part: Json[] = [];
  for (const entry of entries) {
    part.push(entry);
    if (hash32(formatCanonical(getEntryKey(entry))) % meanEntries !== 0) {
      continue;
    }
    parts.push(part);
    part = [];
  }
  if (part.length > 0) parts.push(part);
  return parts;
}

/** Gets the `id` of an entry: edits that keep it move no boundary. */
function getEntryKey(entry: Json): Json {
  return isJsonObject(entry) ? entry["id"] ?? entry : entry;
}

function addPart(parts: Map<string, string>, value: Json): string {
  const text = JSON.stringify(value);
  const hash = hashPart(text);
  parts.set(hash, text);
  return hash;
}

function requirePart(parts: Parts, hash: string): string {
  const text = parts.get(hash);
  if (text !== undefined && hashPart(text) === hash) return text;
  throw AppError.create(
    "hashMismatch",
    text === undefined
      ? `Part ${hash} is absent`
      : `Part ${hash} does not match its hash`,
  );
}

function readManifest(object: JsonObject): Manifest | undefined {
  const manifest = object[manifestField];
  if (manifest === undefined) return undefined;
  const result = manifestSchema.safeParse(manifest);
  if (result.success) return result.data;
  throw AppError.create("invalidConfiguration", "Manifest is malformed");
}

function parseEntries(text: string): Json[] {
  const value = parseJson(text);
  if (Array.isArray(value)) return value;
  throw AppError.create("invalidConfiguration", "Part is not a list");
}

/**
 * Parses a stored text or a part.
 *
 * @throws AppError `invalidConfiguration` if it is not a JSON object.
 */
export function parseObject(text: string): JsonObject {
  const value = parseJson(text);
  if (isJsonObject(value)) return value;
  throw AppError.create("invalidConfiguration", "Declaration is not an object");
}

function parseJson(text: string): Json {
  try {
    return JSON.parse(text) as Json;
  } catch (cause) {
    throw AppError.create("invalidConfiguration", "Text is not JSON", {
      cause,
    });
  }
}
