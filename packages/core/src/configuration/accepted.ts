import { AppError } from "../results/mod.ts";
import { isJsonObject, type Json, type JsonObject } from "./json.ts";
import {
  hashText,
  joinDeclaration,
  type PartedSection,
  type Parts,
} from "./parts.ts";
import {
  type Configuration,
  configurationSchema,
  matchSchema,
} from "./schema.ts";

/** A configuration that the platform has accepted, as stored and as read. */
export type AcceptedConfiguration = {
  /** Version that the platform gave it. */
  version: number;
  /** SHA-256 of `text`, in hexadecimal. */
  hash: string;
  /** The stored object, passed on unchanged. */
  text: string;
  /** The parts that this process holds. */
  parts: Parts;
  body: Configuration;
};

/** What is needed to read an accepted configuration. */
export type AcceptOptions = {
  version: number;
  hash: string;
  text: string;
  parts: Parts;
  /** Long sections that this process needs; all unless given. */
  sections?: readonly PartedSection[] | undefined;
};

/**
 * Reads a stored declaration.
 *
 * @throws AppError `hashMismatch` when the text or a part is not the one that
 * its hash names, `invalidConfiguration` when it cannot be read.
 */
export function acceptConfiguration(
  options: AcceptOptions,
): AcceptedConfiguration {
  const { hash, parts, sections, text, version } = options;
  if (hashText(text) !== hash) {
    throw AppError.create(
      "hashMismatch",
      `Body of configuration ${version} does not match its hash`,
    );
  }
  const raw = joinDeclaration({ text, parts }, sections);
  const result = configurationSchema.safeParse(removeUnknown(raw));
  if (!result.success) {
    throw AppError.create(
      "invalidConfiguration",
      `Configuration ${version} cannot be read: ${result.error.message}`,
    );
  }
  return { version, hash, text, parts, body: result.data };
}

/**
 * Removes what a newer product may have added to exceptions. An exception
 * that matches by an unknown field is dropped, since without that field it
 * would match too much.
 */
function removeUnknown(raw: JsonObject): JsonObject {
  const { exceptions } = raw;
  if (!Array.isArray(exceptions)) return raw;
  return {
    ...raw,
    exceptions: exceptions.filter(hasKnownMatch).map((
      { match, set, reason },
    ) => (
      { match, set, reason }
    )),
  };
}

function hasKnownMatch(exception: Json): exception is JsonObject {
  return isJsonObject(exception) &&
    matchSchema.safeParse(exception["match"]).success;
}
