import {
  decodeHead,
  decodeSegment,
  formatHeadObject,
  formatLayoutObject,
  formatResolutionsObject,
  formatSegmentObject,
  type JournalHead,
  layoutSchema,
  type LedgerEntry,
  type Resolutions,
  resolutionsSchema,
} from "@jasminetide/core/ledger";
import { AppError } from "@jasminetide/core/results";
import type { StorePosition } from "@jasminetide/core/store";
import type { PlatformClient } from "@jasminetide/runtime/platform";

/** Ledger of a service, stored in the platform. */
export type LedgerLocation = { platform: PlatformClient; service: string };

/** Stored state of one shard. */
export type LoadedShard = {
  shard: number;
  head: JournalHead;
  /** Entries by key; those of the head override those of segments. */
  entries: Map<string, LedgerEntry>;
  resolutions: Resolutions;
  /** Position of the stored resolutions; undefined if there are none. */
  resolutionsPosition: StorePosition | undefined;
};

/**
 * Loads the number of shards of a service.
 *
 * @throws AppError `notFound` if the service has never recorded a money call.
 */
export async function loadShardCount(
  location: LedgerLocation,
): Promise<number> {
  const { platform, service } = location;
  const stored = await platform.get(formatLayoutObject(service));
  if (stored === undefined) {
    throw AppError.create("notFound", `Service "${service}" has no ledger`);
  }
  return layoutSchema.parse(JSON.parse(stored.value)).shardCount;
}

/** Loads a shard; undefined if it never had an owner. */
export async function loadShard(
  location: LedgerLocation,
  shard: number,
): Promise<LoadedShard | undefined> {
  const { platform, service } = location;
  const stored = await platform.get(formatHeadObject(service, shard));
  if (stored === undefined) return undefined;
  const head = decodeHead(stored.value);
  const resolutions = await platform.get(
    formatResolutionsObject(service, shard),
  );
  return {
    shard,
    head,
    entries: await loadEntries(location, shard, head),
    resolutions: resolutions === undefined
      ? {}
      : resolutionsSchema.parse(JSON.parse(resolutions.value)),
    resolutionsPosition: resolutions?.position,
  };
}

async function loadEntries(
  location: LedgerLocation,
  shard: number,
  head: JournalHead,
): Promise<Map<string, LedgerEntry>> {
  const { platform, service } = location;
  const entries = new Map<string, LedgerEntry>();
  for (const [slot, { isUsed }] of head.slots.entries()) {
    if (!isUsed) continue;
    const object = formatSegmentObject({ service, shard, slot });
    const stored = await platform.get(object);
    if (stored === undefined) continue;
    const segment = decodeSegment(stored.value);
    for (const entry of segment.entries) {
      // A late outcome may be in a different segment from its intent.
      if (entries.get(entry.key)?.state === "done") continue;
      entries.set(entry.key, entry);
    }
  }
  for (const entry of head.entries) entries.set(entry.key, entry);
  return entries;
}
