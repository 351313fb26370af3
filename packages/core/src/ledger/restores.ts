import { decodePosition } from "../store/mod.ts";
import { markDirty, setHeadEntry } from "./entries.ts";
import { mergeWindows, releaseOldestSegment } from "./history.ts";
import { getEntryBytes, type JournalHead } from "./journal.ts";
import type { ShardState } from "./shard_state.ts";

/** Keys issued further ahead of the owner's clock are refused. */
export const maxIssuedAheadMs = 60_000;

/** Size of a head from which new keys are refused, in bytes. */
export const maxHeadBytes = 600_000;

/**
 * Checks whether a head, or the absence of one, was read from a copy: the store
 * was restored since it was written, and later heads may be lost.
 */
export function isFromCopy(
  read: { version: number; head: JournalHead | undefined },
): boolean {
  const { epoch } = decodePosition(read.version);
  return epoch > (read.head?.storeEpoch ?? 0);
}

/**
 * Records that keys which the journal lacks may have run in the lost time. They
 * are answered as unknown and never run.
 */
export function addRestoreDoubt(state: ShardState): void {
  const limitMs = state.nowMs + maxIssuedAheadMs;
  state.doubts = mergeWindows([...state.doubts, { fromMs: 0, limitMs }]);
  state.untimedDoubtUntilMs = state.nowMs + state.getSettings().windowMs;
}

/**
 * Goes on as the owner in a store that was restored. All entries known here
 * return to the head, since segments may be lost or older; the oldest are
 * forgotten if they do not fit. Calls whose intent is not durable wait for the
 * next write.
 */
export function resumeAfterRestore(state: ShardState, version: number): void {
  state.version = version;
  state.write = undefined;
  state.seal = undefined;
  for (const call of state.calls.values()) {
    if (call.state === "committing") call.state = "queued";
  }
  while (
    state.segmentKeys.size > 0 && countKnownBytes(state) > maxHeadBytes
  ) releaseOldestSegment(state);
  for (const slot of [...state.segmentKeys.keys()]) {
    putInHead(state, slot);
  }
  markDirty(state);
}

function countKnownBytes(state: ShardState): number {
  let bytes = 0;
  for (const entry of state.entries.values()) bytes += getEntryBytes(entry);
  return bytes;
}

function putInHead(state: ShardState, slot: number): void {
  for (const key of state.segmentKeys.get(slot) ?? []) {
    const entry = state.entries.get(key);
    if (entry !== undefined && !state.headBytes.has(key)) {
      setHeadEntry(state, entry);
    }
  }
  state.segmentKeys.delete(slot);
  state.slots[slot].isUsed = false;
}
