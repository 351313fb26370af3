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

/** Which unknown outcomes are listed. */
export type ListUnknownOptions = {
  /** Whether those that operators have resolved are listed too. */
  includeResolved?: boolean;
};

/**
 * Lists the unknown outcomes of a service, the oldest first.
 *
 * @throws AppError `notFound` when the service never took a money call.
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
