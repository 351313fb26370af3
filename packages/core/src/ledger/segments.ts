import { markDirty, removeFromHead } from "./entries.ts";
import { releaseOldestSegment } from "./history.ts";
import {
  getEntryBytes,
  type LedgerEntry,
  type SegmentSlot,
} from "./journal.ts";
import {
  maxSegments,
  type PendingSeal,
  type ShardState,
} from "./shard_state.ts";

/**
 * Size of a head's entries, in bytes, from which its settled entries move to a
 * segment.
 */
const sealBytes = 16_384;

/** Number of segments in use from which small ones are merged. */
const mergeAtSegments = 20;

/**
 * Maximum size of a merged segment, in bytes. Segments larger than half of it
 * are not merged.
 */
const maxMergedBytes = 262_144;

/** Delay before a segment write whose answer was lost is retried. */
const sealRetryMs = 500;

/**
 * Starts to move the settled entries of a large head to a segment, or to merge
 * segments.
 */
export function startSeal(state: ShardState): void {
  if (state.seal !== undefined) return;
  if (state.headTotalBytes >= sealBytes) {
    const entries = getSettledEntries(state);
    if (countBytes(entries) >= sealBytes / 2) {
      sendNewSeal(state, entries, []);
      return;
    }
  }
  startMerge(state);
}

/** Retries a segment write whose answer was lost, once the retry is due. */
export function retrySeal(state: ShardState): void {
  const { seal } = state;
  if (seal === undefined || state.nowMs < seal.retryAtMs) return;
  seal.retryAtMs = Number.POSITIVE_INFINITY;
  sendSeal(state, seal);
}

/** Registers a written segment, to be referenced from the next head. */
export function completeSeal(
  state: ShardState,
  written: { slot: number; version: number },
): void {
  const { seal } = state;
  if (seal?.slot !== written.slot) return;
  const { entries, replacedSlots } = seal;
  state.seal = undefined;
  state.isMergeDue = true;
  state.slots[written.slot] = {
    version: written.version,
    isUsed: true,
    newestIssuedAtMs: Math.max(0, ...entries.map((e) => e.issuedAtMs ?? 0)),
    sealedAtMs: getSealedAtMs(state, replacedSlots),
  };
  state.segmentKeys.set(written.slot, entries.map((entry) => entry.key));
  for (const slot of replacedSlots) releaseReplaced(state, slot);
  for (const entry of entries) {
    // If a late outcome has replaced the entry, the head keeps the newer one.
    const isCurrent = state.entries.get(entry.key) === entry;
    if (isCurrent) removeFromHead(state, entry.key);
  }
  markDirty(state);
}

/**
 * Ends a segment write that met a conflict, and records the version found of
 * an object that no head refers to. The slot is used again only after the next
 * head write has proven that this process is still the owner.
 */
export function failSeal(
  state: ShardState,
  found: { slot: number; version: number },
): void {
  if (state.seal?.slot !== found.slot) return;
  state.seal = undefined;
  state.observedSlotVersions.set(found.slot, found.version);
  markDirty(state);
}

/** Schedules a retry of a segment write. */
export function scheduleSealRetry(state: ShardState, slot: number): void {
  if (state.seal?.slot !== slot) return;
  state.seal.retryAtMs = state.nowMs + sealRetryMs;
}

/** Merges the oldest small segments, to keep slots free. */
function startMerge(state: ShardState): void {
  if (!state.isMergeDue || state.segmentKeys.size < mergeAtSegments) return;
  state.isMergeDue = false;
  const slots = [...state.segmentKeys.keys()].sort((left, right) =>
    state.slots[left].sealedAtMs - state.slots[right].sealedAtMs
  );
  const merged: LedgerEntry[] = [];
  const replacedSlots: number[] = [];
  let bytes = 0;
  for (const slot of slots) {
    const entries = getSegmentEntries(state, slot);
    const entryBytes = countBytes(entries);
    if (entryBytes > maxMergedBytes / 2) continue;
    if (bytes + entryBytes > maxMergedBytes) break;
    bytes += entryBytes;
    merged.push(...entries);
    replacedSlots.push(slot);
  }
  if (replacedSlots.length > 1) sendNewSeal(state, merged, replacedSlots);
}

/** Gets the entries of a segment that are neither forgotten nor in the head. */
function getSegmentEntries(state: ShardState, slot: number): LedgerEntry[] {
  return (state.segmentKeys.get(slot) ?? [])
    .filter((key) => !state.headBytes.has(key))
    .map((key) => state.entries.get(key))
    .filter((entry) => entry !== undefined);
}

function releaseReplaced(state: ShardState, slot: number): void {
  if (!state.segmentKeys.delete(slot)) return;
  state.slots[slot].isUsed = false;
  state.releasingSlots.add(slot);
}

function getSealedAtMs(state: ShardState, replacedSlots: number[]): number {
  if (replacedSlots.length === 0) return state.nowMs;
  return Math.max(...replacedSlots.map((slot) => state.slots[slot].sealedAtMs));
}

function getSettledEntries(state: ShardState): LedgerEntry[] {
  return [...state.headBytes.keys()].map((key) => state.entries.get(key))
    .filter((entry) => entry !== undefined)
    .filter((entry) => entry.state !== "intent");
}

function countBytes(entries: LedgerEntry[]): number {
  return entries.reduce((sum, entry) => sum + getEntryBytes(entry), 0);
}

function sendNewSeal(
  state: ShardState,
  entries: LedgerEntry[],
  replacedSlots: number[],
): void {
  const slot = findFreeSlot(state);
  if (slot === undefined) {
    releaseOldestSegment(state);
    return;
  }
  const retryAtMs = Number.POSITIVE_INFINITY;
  state.seal = { slot, entries, replacedSlots, retryAtMs };
  sendSeal(state, state.seal);
}

function findFreeSlot(state: ShardState): number | undefined {
  for (let slot = 0; slot < maxSegments; slot++) {
    const row = state.slots[slot];
    if (row === undefined) {
      state.slots[slot] = createSlot();
      return slot;
    }
    const isBusy = state.releasingSlots.has(slot) ||
      state.observedSlotVersions.has(slot) ||
      state.write?.observedSlotVersions.has(slot) === true;
    if (!row.isUsed && !isBusy) return slot;
  }
  return undefined;
}

function createSlot(): SegmentSlot {
  return { version: 0, isUsed: false, newestIssuedAtMs: 0, sealedAtMs: 0 };
}

function sendSeal(state: ShardState, seal: PendingSeal): void {
  const { slot, entries } = seal;
  state.commands.push({
    type: "write-segment",
    slot,
    expected: state.slots[slot].version,
    segment: { entries },
  });
}
