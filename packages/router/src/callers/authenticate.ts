import { Buffer } from "node:buffer";
import { createHash, timingSafeEqual } from "node:crypto";
import type { IncomingMessage } from "node:http";
import type { Configuration } from "@jasminetide/core/configuration";
import { AppError } from "@jasminetide/core/results";
import type { WorkspaceId } from "@jasminetide/core/tables";

/** Workspaces by the SHA-256 hash of a caller key, in hexadecimal. */
export type KeyIndex = ReadonlyMap<string, WorkspaceId>;

/** Creates the index of all caller keys in a configuration. */
export function createKeyIndex(configuration: Configuration): KeyIndex {
  const index = new Map<string, WorkspaceId>();
  for (const workspace of configuration.workspaces) {
    for (const hash of workspace.keyHashes) index.set(hash, workspace.id);
  }
  return index;
}

/**
 * Finds the workspace of a caller by its key.
 *
 * @throws AppError `unauthorized`.
 */
export function authenticateCaller(
  request: IncomingMessage,
  index: KeyIndex,
): WorkspaceId {
  const key = /^Bearer (\S+)$/i.exec(request.headers.authorization ?? "")?.[1];
  if (key === undefined) {
    throw AppError.create(
      "unauthorized",
      "Authorization header is missing, expected a bearer key",
    );
  }
  const digest = createHash("sha256").update(key).digest();
  for (const [hash, workspace] of getMatches(digest, index)) {
    if (timingSafeEqual(digest, Buffer.from(hash, "hex"))) return workspace;
  }
  throw AppError.create("unauthorized", "Caller key is unknown");
}

function getMatches(
  digest: Buffer,
  index: KeyIndex,
): [string, WorkspaceId][] {
  const hash = digest.toString("hex");
  const workspace = index.get(hash);
  return workspace === undefined ? [] : [[hash, workspace]];
}
