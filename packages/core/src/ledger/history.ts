import { deleteEntry, markDirty, setHeadEntry } from "./entries.ts";
import type { KeyWindow, LedgerEntry } from "./journal.ts";
import type { ShardState } from "./shard_state.ts";

/** Windows of former owners that are kept apart. */
const maxDoubts = 16;

/** Forgets what the bounds of time and size ask for. */
export function trimHistory(state: ShardState): void {
  const { windowMs, maximumEntriesPerShard } = state.getSettings();
  state.floorMs = Math.max(state.floorMs, state.nowMs - windowMs);
  forgetDoubts(state);
  forgetHeadEntries(state);
  for (const [slot, row] of state.slots.entries()) {
    if (row.isUsed && row.newestIssuedAtMs < state.floorMs) {
      releaseSegment(state, slot, state.floorMs);
    }
  }
  if (state.entries.size > maximumEntriesPerShard) releaseOldest(state);
}

/** Joins windows that overlap; beyond a bound also those that do not. */
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

function forgetDoubts(state: ShardState): void {
  const [over, kept] = [
    state.doubts.filter((doubt) => doubt.limitMs <= state.floorMs),
    state.doubts.filter((doubt) => doubt.limitMs > state.floorMs),
  ];
  state.doubts = kept;
  for (const { limitMs } of over) recordForgotten(state, limitMs);
}

function forgetHeadEntries(state: ShardState): void {
  for (const key of [...state.headBytes.keys()]) {
    const entry = state.entries.get(key);
    if (entry === undefined || entry.state === "intent") continue;
    if (isForgettable(entry, state.floorMs)) forget(state, entry);
  }
}

/** Folds the oldest segment: its keys are forgotten and refused. */
export function releaseOldest(state: ShardState): void {
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

/** Forgets a segment's entries below the floor; the rest moves to the head. */
function releaseSegment(
  state: ShardState,
  slot: number,
  floorMs: number,
): void {
  for (const key of state.segmentKeys.get(slot) ?? []) {
    const entry = state.entries.get(key);
    if (entry === undefined || state.headBytes.has(key)) continue;
    if (isForgettable(entry, floorMs)) forget(state, entry);
    else setHeadEntry(state, entry);
  }
  state.segmentKeys.delete(slot);
  state.slots[slot].isUsed = false;
  state.releasingSlots.add(slot);
  markDirty(state);
}

function forget(state: ShardState, entry: LedgerEntry): void {
  recordForgotten(state, entry.issuedAtMs ?? 0);
  deleteEntry(state, entry.key);
}

function recordForgotten(state: ShardState, issuedAtMs: number): void {
  state.forgottenThroughMs = Math.max(state.forgottenThroughMs, issuedAtMs);
}

function isForgettable(entry: LedgerEntry, floorMs: number): boolean {
  return entry.issuedAtMs !== undefined && entry.issuedAtMs < floorMs;
}
