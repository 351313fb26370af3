import {
  deleteEntry,
  markDirty,
  removeFromHead,
  setHeadEntry,
} from "./entries.ts";
import type { KeyWindow, LedgerEntry, SegmentSlot } from "./journal.ts";
import { maxSegments, type ShardState } from "./shard_state.ts";

/** Size of a head's settled entries at which they move to a segment. */
const sealBytes = 32_768;

const sealRetryMs = 500;

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

/** Moves settled entries of a large head to a segment of their own. */
export function startSeal(state: ShardState): void {
  if (state.seal !== undefined || state.headTotalBytes < sealBytes) return;
  const entries = getSettled(state);
  const bytes = entries.reduce(
    (sum, entry) => sum + (state.headBytes.get(entry.key) ?? 0),
    0,
  );
  if (bytes < sealBytes / 2) return;
  const slot = findFreeSlot(state);
  if (slot === undefined) {
    releaseOldest(state);
    return;
  }
  state.seal = {
    slot,
    entries,
    retryAtMs: Number.POSITIVE_INFINITY,
  };
  sendSeal(state);
}

/** Writes a segment again whose answer was lost. */
export function retrySeal(state: ShardState): void {
  const { seal } = state;
  if (seal === undefined || state.nowMs < seal.retryAtMs) return;
  seal.retryAtMs = Number.POSITIVE_INFINITY;
  sendSeal(state);
}

/** Refers to a written segment from the next head on. */
export function completeSeal(
  state: ShardState,
  written: { slot: number; version: number },
): void {
  const { seal } = state;
  if (seal?.slot !== written.slot) return;
  const { entries } = seal;
  state.seal = undefined;
  state.slots[written.slot] = {
    version: written.version,
    isUsed: true,
    newestIssuedAtMs: Math.max(0, ...entries.map((e) => e.issuedAtMs ?? 0)),
    sealedAtMs: state.nowMs,
  };
  state.segmentKeys.set(written.slot, entries.map((entry) => entry.key));
  for (const entry of entries) {
    // A late outcome has replaced the entry: the head keeps the newer one.
    const isCurrent = state.entries.get(entry.key) === entry;
    if (isCurrent) removeFromHead(state, entry.key);
  }
  markDirty(state);
}

/**
 * Learns the version of a segment that no head refers to. It is used only
 * after the next head write has proven that this process is still the owner.
 */
export function failSeal(
  state: ShardState,
  found: { slot: number; version: number },
): void {
  if (state.seal?.slot !== found.slot) return;
  state.seal = undefined;
  state.learnedVersions.set(found.slot, found.version);
  markDirty(state);
}

/** Tries a segment again later. */
export function scheduleSeal(state: ShardState, slot: number): void {
  if (state.seal?.slot !== slot) return;
  state.seal.retryAtMs = state.nowMs + sealRetryMs;
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

function releaseOldest(state: ShardState): void {
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

function getSettled(state: ShardState): LedgerEntry[] {
  return [...state.headBytes.keys()].map((key) => state.entries.get(key))
    .filter((entry) => entry !== undefined)
    .filter((entry) => entry.state !== "intent");
}

function findFreeSlot(state: ShardState): number | undefined {
  for (let slot = 0; slot < maxSegments; slot++) {
    const row = state.slots[slot];
    if (row === undefined) {
      state.slots[slot] = createSlot();
      return slot;
    }
    const isBusy = state.releasingSlots.has(slot) ||
      state.learnedVersions.has(slot) ||
      state.write?.learnedVersions.has(slot) === true;
    if (!row.isUsed && !isBusy) return slot;
  }
  return undefined;
}

function createSlot(): SegmentSlot {
  return { version: 0, isUsed: false, newestIssuedAtMs: 0, sealedAtMs: 0 };
}

function sendSeal(state: ShardState): void {
  if (state.seal === undefined) return;
  const { slot, entries } = state.seal;
  state.commands.push({
    type: "write-segment",
    slot,
    expected: state.slots[slot].version,
    segment: { entries },
  });
}
