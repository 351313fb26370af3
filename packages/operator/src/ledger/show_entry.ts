import { Buffer } from "node:buffer";
import {
  createScopedKey,
  getShard,
  type LedgerOwner,
  parseKey,
  type Resolution,
  type ScopedKey,
} from "@jasminetide/core/ledger";
import {
  type LedgerLocation,
  type LoadedShard,
  loadShard,
  loadShardCount,
} from "./load_shard.ts";

/** A key as operators name it. */
export type KeyName = { workspace: string; key: string };

/** What the ledger knows of one key. */
export type ShownEntry = KeyName & {
  shard: number;
  owner: LedgerOwner | undefined;
  /**
   * `absent`: never recorded, or forgotten; `in-doubt`: absent, and a former
   * owner may have run it.
   */
  state: "absent" | "in-doubt" | "intent" | "done" | "unknown";
  issuedAtMs: number | undefined;
  recordedAtMs: number | undefined;
  /** The stored answer of a `done` entry, where it was kept. */
  answer: { status: number; body: string } | undefined;
  resolution: Resolution | undefined;
  /** Keys issued earlier are refused. */
  floorMs: number;
};

/** A key with the shard that it belongs to. */
export type LocatedKey = {
  scopedKey: ScopedKey;
  issuedAtMs: number | undefined;
  shard: number;
  loaded: LoadedShard | undefined;
};

/**
 * Loads the shard of a key.
 *
 * @throws AppError `notFound` or `invalidKey`.
 */
export async function loadKey(
  location: LedgerLocation,
  name: KeyName,
): Promise<LocatedKey> {
  const { key, issuedAtMs } = parseKey(name.key);
  const scopedKey = createScopedKey(name.workspace, key);
  const shard = getShard(scopedKey, await loadShardCount(location));
  const loaded = await loadShard(location, shard);
  return { scopedKey, issuedAtMs, shard, loaded };
}

/**
 * Shows what the ledger knows of a key.
 *
 * @throws AppError `notFound` or `invalidKey`.
 */
export async function showEntry(
  location: LedgerLocation,
  name: KeyName,
): Promise<ShownEntry> {
  const located = await loadKey(location, name);
  const { loaded, scopedKey, shard, issuedAtMs } = located;
  const entry = loaded?.entries.get(scopedKey);
  const answer = entry?.answer;
  return {
    ...name,
    shard,
    owner: loaded?.head.owner,
    state: entry?.state ?? (isInDoubt(located) ? "in-doubt" : "absent"),
    issuedAtMs,
    recordedAtMs: entry?.recordedAtMs,
    answer: answer === undefined ? undefined : {
      status: answer.status,
      body: Buffer.from(answer.body).toString("utf8"),
    },
    resolution: loaded?.resolutions[scopedKey],
    floorMs: loaded?.head.floorMs ?? 0,
  };
}

/** Says whether an absent key may have run at a former owner. */
export function isInDoubt(located: LocatedKey): boolean {
  const { loaded, issuedAtMs } = located;
  if (loaded === undefined || issuedAtMs === undefined) return false;
  return loaded.head.doubts.some(({ fromMs, limitMs }) =>
    fromMs <= issuedAtMs && issuedAtMs < limitMs
  );
}
