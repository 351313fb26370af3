import { getEntryBytes, type KeyWindow, type LedgerEntry } from "./journal.ts";
import type { ScopedKey } from "./key.ts";
import type { ShardState } from "./shard_state.ts";

/** Adds or replaces an entry, to be stored in the next head that is written. */
export function setHeadEntry(state: ShardState, entry: LedgerEntry): void {
  const known = state.entries.has(entry.key);
  state.entries.set(entry.key, entry);
  if (!known && entry.issuedAtMs === undefined) state.untimedKeyCount += 1;
  removeFromHead(state, entry.key);
  const bytes = getEntryBytes(entry);
  state.headBytes.set(entry.key, bytes);
  state.headTotalBytes += bytes;
  markDirty(state);
}

/** Removes an entry from the head. It stays in memory and in any segment. */
export function removeFromHead(state: ShardState, key: ScopedKey): void {
  state.headTotalBytes -= state.headBytes.get(key) ?? 0;
  state.headBytes.delete(key);
}

/** Deletes an entry from memory and from the head. */
export function deleteEntry(state: ShardState, key: ScopedKey): void {
  const entry = state.entries.get(key);
  if (entry === undefined) return;
  if (entry.issuedAtMs === undefined) state.untimedKeyCount -= 1;
  state.entries.delete(key);
  removeFromHead(state, key);
  markDirty(state);
}

/** Marks the shard as having a change that the durable head lacks. */
export function markDirty(state: ShardState): void {
  state.dirtySinceMs ??= state.nowMs;
}

/** Checks whether an issue time lies in a window. */
export function isInWindow(
  window: KeyWindow | undefined,
  issuedAtMs: number,
): boolean {
  return window !== undefined && window.fromMs <= issuedAtMs &&
    issuedAtMs < window.limitMs;
}
