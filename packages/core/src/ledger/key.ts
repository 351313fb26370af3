import { AppError } from "../results/mod.ts";
import { hash32 } from "../hashing/mod.ts";

/**
 * Idempotency key qualified by its workspace. Each journal belongs to one
 * service, so the key does not name the service.
 */
export type ScopedKey = string;

/** A caller's idempotency key and its issue time, if the key carries one. */
export type ParsedKey = {
  key: string;
  /** Timestamp of a UUIDv7; undefined for any other key. */
  issuedAtMs: number | undefined;
};

/** Maximum length of an idempotency key, in characters. */
const maxKeyLength = 255;

const uuidV7Pattern =
  /^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;

/**
 * Parses the value of an `Idempotency-Key` header, bare or as a quoted string
 * (IETF draft "The Idempotency-Key HTTP Header Field").
 *
 * @throws AppError `invalidKey` if the key is empty, too long or not visible
 * ASCII.
 */
export function parseKey(header: string): ParsedKey {
  const key = header.trim().replace(/^"(.*)"$/, "$1");
  if (!/^[\x21-\x7e]+$/.test(key) || key.length > maxKeyLength) {
    throw AppError.create(
      "invalidKey",
      `Idempotency key has ${key.length} characters, expected 1 to ` +
        `${maxKeyLength} visible ASCII characters`,
    );
  }
  if (!uuidV7Pattern.test(key)) return { key, issuedAtMs: undefined };
  const lowered = key.toLowerCase();
  const issuedAtMs = Number.parseInt(
    lowered.slice(0, 8) + lowered.slice(9, 13),
    16,
  );
  return { key: lowered, issuedAtMs };
}

/** Combines a workspace and a key into the key used in the journals. */
export function createScopedKey(workspace: string, key: string): ScopedKey {
  return `${encodeURIComponent(workspace)} ${key}`;
}

/** Splits a scoped key into its workspace and the caller's key. */
export function parseScopedKey(
  scoped: ScopedKey,
): { workspace: string; key: string } {
  const space = scoped.indexOf(" ");
  return {
    workspace: decodeURIComponent(scoped.slice(0, space)),
    key: scoped.slice(space + 1),
  };
}

/** Gets the index of the shard that holds a key, counted from 0. */
export function getShard(key: ScopedKey, shardCount: number): number {
  return hash32(key) % shardCount;
}
