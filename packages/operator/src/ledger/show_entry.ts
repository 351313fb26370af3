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

/** An idempotency key and the workspace whose caller used it. */
export type KeyReference = { workspace: string; key: string };

/** State of one key in the ledger. */
export type EntryDetails = KeyReference & {
  shard: number;
  owner: LedgerOwner | undefined;
  /**
   * `absent`: never recorded, or expired; `in-doubt`: absent, but a former
   * owner may have run the call.
   */
  state: "absent" | "in-doubt" | "intent" | "done" | "unknown";
  issuedAtMs: number | undefined;
  recordedAtMs: number | undefined;
  /** Stored answer of a `done` entry, if it was kept. */
  answer: { status: number; body: string } | undefined;
  resolution: Resolution | undefined;
  /** Keys issued before this time are refused. */
  floorMs: number;
};

/** A key and the shard to which it belongs. */
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
  name: KeyReference,
): Promise<LocatedKey> {
  const { key, issuedAtMs } = parseKey(name.key);
  const scopedKey = createScopedKey(name.workspace, key);
  const shard = getShard(scopedKey, await loadShardCount(location));
  const loaded = await loadShard(location, shard);
  return { scopedKey, issuedAtMs, shard, loaded };
}

/**
 * Loads the state of a key in the ledger.
 *
 * @throws AppError `notFound` or `invalidKey`.
 */
export async function showEntry(
  location: LedgerLocation,
  name: KeyReference,
): Promise<EntryDetails> {
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

/** Whether a former owner may have run the call of an absent key. */
export function isInDoubt(located: LocatedKey): boolean {
  const { loaded, issuedAtMs } = located;
  if (loaded === undefined || issuedAtMs === undefined) return false;
  return loaded.head.doubts.some(({ fromMs, limitMs }) =>
    fromMs <= issuedAtMs && issuedAtMs < limitMs
  );
}
