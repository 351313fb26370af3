import { deleteEntry, markDirty, setHeadEntry } from "./entries.ts";
import type { KeyWindow, LedgerEntry } from "./journal.ts";
import type { ShardState } from "./shard_state.ts";

/** Maximum number of former owners' windows stored separately. */
const maxDoubts = 16;

/** Forgets entries that exceed the limits of the history's age and size. */
export function trimHistory(state: ShardState): void {
  const { windowMs, maximumEntriesPerShard } = state.getSettings();
  state.floorMs = Math.max(state.floorMs, state.nowMs - windowMs);
  forgetExpiredDoubts(state);
  forgetHeadEntries(state);
  for (const [slot, row] of state.slots.entries()) {
    if (row.isUsed && row.newestIssuedAtMs < state.floorMs) {
      releaseSegment(state, slot, state.floorMs);
    }
  }
  if (state.entries.size > maximumEntriesPerShard) releaseOldestSegment(state);
}

/**
 * Merges overlapping windows. While there are more than `maxDoubts`, also
 * merges the two earliest into one window that covers the gap between them.
 */
export function mergeWindows(windows: KeyWindow[]): KeyWindow[] {
  const sorted = [...windows].sort((a, b) => a.fromMs - b.fromMs);
  const merged: KeyWindow[] = [];
  for (const window of sorted) {
    const last = merged.at(-1);
    if (last !== undefined && window.fromMs <= last.limitMs) {
      last.limitMs = Math.max(last.limitMs, window.limitMs);
    } else merged.push({ ...window });
  }
  while (merged.length > maxDoubts) {
    const [first, second] = merged.splice(0, 2);
    merged.unshift({ fromMs: first.fromMs, limitMs: second.limitMs });
  }
  return merged;
}

function forgetExpiredDoubts(state: ShardState): void {
  const [expired, kept] = [
    state.doubts.filter((doubt) => doubt.limitMs <= state.floorMs),
    state.doubts.filter((doubt) => doubt.limitMs > state.floorMs),
  ];
  state.doubts = kept;
  for (const { limitMs } of expired) recordForgotten(state, limitMs);
}

function forgetHeadEntries(state: ShardState): void {
  for (const key of [...state.headBytes.keys()]) {
    const entry = state.entries.get(key);
    if (entry === undefined || entry.state === "intent") continue;
    if (isForgettable(entry, state.floorMs)) forgetEntry(state, entry);
  }
}

/**
 * Releases the oldest segment and raises the floor, so that its keys are
 * forgotten and refused from now on.
 */
export function releaseOldestSegment(state: ShardState): void {
  let oldest: number | undefined;
  for (const [slot, row] of state.slots.entries()) {
    if (!row.isUsed) continue;
    if (
      oldest === undefined || row.sealedAtMs < state.slots[oldest].sealedAtMs
    ) oldest = slot;
  }
  if (oldest === undefined) return;
  const { newestIssuedAtMs, sealedAtMs } = state.slots[oldest];
  const floorMs = Math.min(newestIssuedAtMs, sealedAtMs) + 1;
  state.floorMs = Math.max(state.floorMs, floorMs);
  releaseSegment(state, oldest, state.floorMs);
}

/**
 * Releases a segment: forgets its entries issued before the floor and moves
 * the others to the head.
 */
function releaseSegment(
  state: ShardState,
  slot: number,
  floorMs: number,
): void {
  for (const key of state.segmentKeys.get(slot) ?? []) {
    const entry = state.entries.get(key);
    if (entry === undefined || state.headBytes.has(key)) continue;
    if (isForgettable(entry, floorMs)) forgetEntry(state, entry);
    else setHeadEntry(state, entry);
  }
  state.segmentKeys.delete(slot);
  state.slots[slot].isUsed = false;
  state.releasingSlots.add(slot);
  markDirty(state);
}

function forgetEntry(state: ShardState, entry: LedgerEntry): void {
  recordForgotten(state, entry.issuedAtMs ?? 0);
  deleteEntry(state, entry.key);
}

function recordForgotten(state: ShardState, issuedAtMs: number): void {
  state.forgottenThroughMs = Math.max(state.forgottenThroughMs, issuedAtMs);
}

function isForgettable(entry: LedgerEntry, floorMs: number): boolean {
  return entry.issuedAtMs !== undefined && entry.issuedAtMs < floorMs;
}
