import { getEntryBytes, type KeyWindow, type LedgerEntry } from "./journal.ts";
import type { ScopedKey } from "./key.ts";
import type { ShardState } from "./shard_state.ts";

/** Sets an entry that the next head carries. */
export function setHeadEntry(state: ShardState, entry: LedgerEntry): void {
  const known = state.entries.has(entry.key);
  state.entries.set(entry.key, entry);
  if (!known && entry.issuedAtMs === undefined) state.timelessCount += 1;
  removeFromHead(state, entry.key);
  const bytes = getEntryBytes(entry);
  state.headBytes.set(entry.key, bytes);
  state.headTotalBytes += bytes;
  markDirty(state);
}

/** Removes an entry from the head's share; segments may still hold it. */
export function removeFromHead(state: ShardState, key: ScopedKey): void {
  state.headTotalBytes -= state.headBytes.get(key) ?? 0;
  state.headBytes.delete(key);
}

/** Deletes an entry altogether. */
export function deleteEntry(state: ShardState, key: ScopedKey): void {
  const entry = state.entries.get(key);
  if (entry === undefined) return;
  if (entry.issuedAtMs === undefined) state.timelessCount -= 1;
  state.entries.delete(key);
  removeFromHead(state, key);
  markDirty(state);
}

/** Notes that the durable head lacks a change. */
export function markDirty(state: ShardState): void {
  state.dirtySinceMs ??= state.nowMs;
}

/** Says whether an issue time lies in a window. */
export function isInWindow(
  window: KeyWindow | undefined,
  issuedAtMs: number,
): boolean {
  return window !== undefined && window.fromMs <= issuedAtMs &&
    issuedAtMs < window.limitMs;
}
