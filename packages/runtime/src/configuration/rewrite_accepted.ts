import {
  type AcceptedConfiguration,
  listPartHashes,
  parseObject,
  readAcceptedVersion,
} from "@jasminetide/core/configuration";
import { normalizeError } from "@jasminetide/core/results";
import type { PlatformClient, StoredObject } from "../platform/mod.ts";
import { readStoredConfiguration } from "./load_accepted.ts";
import { configurationObject } from "./objects.ts";
import { putParts } from "./publish.ts";

/**
 * Writes the declaration in force again, as it was accepted, if a store that was
 * restored from a copy holds an older one or none. A newer one wins, also if it
 * is written at the same time.
 *
 * @param stored object that the store holds.
 * @returns whether it was written.
 * @throws AppError `platformUnavailable` if that is unknown.
 */
export async function rewriteAccepted(
  platform: PlatformClient,
  accepted: AcceptedConfiguration,
  stored: StoredObject | undefined,
): Promise<boolean> {
  if (!isLost(accepted, stored, platform.epoch)) return false;
  const hashes = listPartHashes(accepted.text);
  if (!hashes.every((hash) => accepted.parts.has(hash))) return false;
  await putParts(platform, accepted);
  try {
    await platform.put(configurationObject, {
      value: accepted.text,
      condition: stored === undefined
        ? "absent"
        : { position: stored.position },
    });
    return true;
  } catch (thrown) {
    const error = normalizeError(thrown);
    if (error.result === "versionConflict") return false;
    throw error;
  }
}

/** Whether a restore has lost the declaration, other than by a stale read. */
function isLost(
  accepted: AcceptedConfiguration,
  stored: StoredObject | undefined,
  epoch: number,
): boolean {
  const known = readAcceptedVersion(parseObject(accepted.text));
  if (known === undefined || known.storeEpoch >= epoch) return false;
  if (stored === undefined) return true;
  return readStoredConfiguration(stored).version < known.version;
}
