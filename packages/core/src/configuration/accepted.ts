import { AppError } from "../results/mod.ts";
import { isJsonObject, type Json, type JsonObject } from "./json.ts";
import {
  hashText,
  joinDeclaration,
  type Parts,
  type SplitSection,
} from "./parts.ts";
import {
  type Configuration,
  configurationSchema,
  matchSchema,
} from "./schema.ts";

/** A declaration that the platform has accepted, as stored and as parsed. */
export type AcceptedConfiguration = {
  /** Version that the platform assigned. */
  version: number;
  /** SHA-256 of `text`, in hexadecimal. */
  hash: string;
  /** The stored object, relayed unchanged to other processes. */
  text: string;
  /** The parts that are available at this process. */
  parts: Parts;
  body: Configuration;
};

/** A stored declaration with its version and the hash of its text. */
export type AcceptOptions = {
  version: number;
  hash: string;
  text: string;
  parts: Parts;
  /** Split sections that this process uses; default: all. */
  sections?: readonly SplitSection[] | undefined;
};

/**
 * Verifies and parses a stored declaration.
 *
 * @throws AppError `hashMismatch` if the text or a part does not match its
 * hash, `invalidConfiguration` if the declaration cannot be parsed.
 */
export function acceptConfiguration(
  options: AcceptOptions,
): AcceptedConfiguration {
  const { hash, parts, sections, text, version } = options;
  if (hashText(text) !== hash) {
    throw AppError.create(
      "hashMismatch",
      `Text of configuration ${version} does not match its hash`,
    );
  }
  const raw = joinDeclaration({ text, parts }, sections);
  const result = configurationSchema.safeParse(removeUnknownFields(raw));
  if (!result.success) {
    throw AppError.create(
      "invalidConfiguration",
      `Cannot parse configuration ${version}: ${result.error.message}`,
    );
  }
  return { version, hash, text, parts, body: result.data };
}

/**
 * Removes fields that a newer version of the product may have added to
 * exceptions. An exception that matches by an unknown field is dropped, since
 * without that field it would match too much.
 */
function removeUnknownFields(raw: JsonObject): JsonObject {
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
