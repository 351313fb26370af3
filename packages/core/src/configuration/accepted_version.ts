import * as z from "zod";
import type { JsonObject } from "./json.ts";

/** Name of the field of a stored text that holds its accepted version. */
const field = "accepted";

const schema = z.object({
  version: z.number().int().positive(),
  storeEpoch: z.number().int().nonnegative(),
});

/**
 * Version under which a declaration was accepted, and the epoch of the store at
 * that time. It stands in the stored text, since a restored store gives its own
 * versions out again.
 */
export type AcceptedVersion = z.output<typeof schema>;

/**
 * Versions that are left out for each restore of the store, for those that were
 * accepted in the lost seconds.
 */
const versionsPerRestore = 2 ** 20;

/** Gets the version that follows the one which an epoch of the store holds. */
export function getNextVersion(
  last: AcceptedVersion,
  storeEpoch: number,
): AcceptedVersion {
  const restores = Math.max(0, storeEpoch - last.storeEpoch);
  const step = restores === 0 ? 1 : restores * versionsPerRestore;
  return { version: last.version + step, storeEpoch };
}

/** Adds the accepted version to a stored text. */
export function addAcceptedVersion(
  text: string,
  accepted: AcceptedVersion,
): string {
  const object = JSON.parse(text) as JsonObject;
  return JSON.stringify({ [field]: accepted, ...object });
}

/** Reads the accepted version of a stored text; undefined if it has none. */
export function readAcceptedVersion(
  object: JsonObject,
): AcceptedVersion | undefined {
  const result = schema.safeParse(object[field]);
  return result.success ? result.data : undefined;
}

/** Removes the accepted version from a stored declaration. */
export function removeAcceptedVersion(object: JsonObject): JsonObject {
  const { [field]: _accepted, ...declaration } = object;
  return declaration;
}
