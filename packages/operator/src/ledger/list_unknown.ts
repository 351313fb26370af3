import { parseScopedKey, type Resolution } from "@jasminetide/core/ledger";
import {
  type LedgerLocation,
  loadShard,
  loadShardCount,
} from "./load_shard.ts";

/** A money call whose outcome is unknown. */
export type UnknownEntry = {
  workspace: string;
  key: string;
  shard: number;
  recordedAtMs: number;
  issuedAtMs: number | undefined;
  resolution: Resolution | undefined;
};

/** Options to list unknown outcomes. */
export type ListUnknownOptions = {
  /** Whether to include outcomes that operators have resolved. */
  includeResolved?: boolean;
};

/**
 * Lists the unknown outcomes of a service, oldest first.
 *
 * @throws AppError `notFound` if the service has never recorded a money call.
 */
export async function listUnknown(
  location: LedgerLocation,
  options: ListUnknownOptions = {},
): Promise<UnknownEntry[]> {
  const shardCount = await loadShardCount(location);
  const listed: UnknownEntry[] = [];
  for (let shard = 0; shard < shardCount; shard++) {
    const loaded = await loadShard(location, shard);
    if (loaded === undefined) continue;
    for (const entry of loaded.entries.values()) {
      const resolution = loaded.resolutions[entry.key];
      if (entry.state !== "unknown") continue;
      if (resolution !== undefined && options.includeResolved !== true) {
        continue;
      }
      const { issuedAtMs, recordedAtMs } = entry;
      listed.push({
        ...parseScopedKey(entry.key),
        shard,
        recordedAtMs,
        issuedAtMs,
        resolution,
      });
    }
  }
  return listed.sort((left, right) => left.recordedAtMs - right.recordedAtMs);
}
