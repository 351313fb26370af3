import { AppError } from "../results/mod.ts";
import { hash32 } from "../hashing/mod.ts";

/** An idempotency key inside its workspace. The journal names the service. */
export type ScopedKey = string;

/** A caller's key with the time at which it was issued, where it has one. */
export type ParsedKey = {
  key: string;
  /** Time inside a UUIDv7; undefined for any other key. */
  issuedAtMs: number | undefined;
};

const maxKeyLength = 255;

const uuidV7Pattern =
  /^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;

/**
 * Parses the value of an `Idempotency-Key` header, bare or as a quoted string
 * (IETF draft of that name).
 *
 * @throws AppError `invalidKey`.
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

/** Creates the name of a key inside a service's journals. */
export function createScopedKey(workspace: string, key: string): ScopedKey {
  return `${encodeURIComponent(workspace)} ${key}`;
}

/** Splits the name of a key. */
export function parseScopedKey(
  scoped: ScopedKey,
): { workspace: string; key: string } {
  const space = scoped.indexOf(" ");
  return {
    workspace: decodeURIComponent(scoped.slice(0, space)),
    key: scoped.slice(space + 1),
  };
}

/** Gets the shard of a key, from 0. */
export function getShard(key: ScopedKey, shardCount: number): number {
  return hash32(key) % shardCount;
}
