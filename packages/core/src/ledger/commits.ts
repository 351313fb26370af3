import { assertInvariant } from "../results/mod.ts";
import { isPlatformDown, refuseUnavailable, withdrawCall } from "./calls.ts";
import { deleteEntry } from "./entries.ts";
import type { JournalHead, KeyWindow, LedgerEntry } from "./journal.ts";
import type { CallId } from "./messages.ts";
import {
  extendAuthority,
  isAuthoritative,
  type PendingCall,
  type PendingWrite,
  type ShardState,
} from "./shard_state.ts";

/** Longest wait of outcomes for a write, while intents wait for theirs. */
const outcomeFlushMs = 200;

/** Longest wait of intents and outcomes inside an open window. */
const windowFlushMs = 2500;

/** How far before the opening a key of a window may have been issued. */
const windowBackMs = 10_000;

/** Share of the lease after which an idle owner renews it. */
const renewalShare = 0.5;

const firstRetryMs = 50;
const maxRetryMs = 1000;

/** Time at which the next write is due, or undefined for none. */
export function getWriteDueMs(state: ShardState): number | undefined {
  if (state.write !== undefined) {
    return state.write.state === "sent" ? undefined : state.write.retryAtMs;
  }
  const { groupCommitMs, leaseMs, outageMode, openWindowMs } = state
    .getSettings();
  const dues: number[] = [];
  if (hasQueued(state)) dues.push(state.lastWriteAtMs + groupCommitMs);
  if (state.dirtySinceMs !== undefined) {
    dues.push(
      state.dirtySinceMs +
        (outageMode === "open-window" ? windowFlushMs : outcomeFlushMs),
    );
  }
  dues.push(state.leaseStartMs + leaseMs * renewalShare);
  if (outageMode === "open-window") {
    dues.push((state.window?.limitMs ?? 0) - openWindowMs / 2);
  }
  return Math.min(...dues);
}

/** Writes the head: every intent and outcome that has come. */
export function startWrite(
  state: ShardState,
  options: { isRelease?: boolean } = {},
): void {
  state.writeCount += 1;
  const head = createHead(state, options.isRelease === true);
  const callIds: CallId[] = [];
  for (const call of state.calls.values()) {
    if (state.role.type !== "owner" || call.state !== "queued") continue;
    call.state = "committing";
    callIds.push(call.id);
  }
  state.write = {
    head,
    expected: state.version,
    startedAtMs: state.nowMs,
    triedAtMs: state.nowMs,
    triedBeforeAtMs: undefined,
    callIds,
    state: "sent",
    losses: 0,
    retryAtMs: 0,
    learnedVersions: state.learnedVersions,
    releasedSlots: [...state.releasingSlots],
  };
  state.learnedVersions = new Map();
  state.dirtySinceMs = undefined;
  state.lastWriteAtMs = state.nowMs;
  sendWrite(state, state.write);
}

/** Sends a write whose answer was lost once more, or reads once more. */
export function retryWrite(state: ShardState, write: PendingWrite): void {
  if (write.state === "reading") {
    write.retryAtMs = Number.POSITIVE_INFINITY;
    state.commands.push({ type: "read-head" });
  } else {
    write.state = "sent";
    write.triedBeforeAtMs = write.triedAtMs;
    write.triedAtMs = state.nowMs;
    sendWrite(state, write);
  }
}

/** Makes the intents of a confirmed write run. */
export function confirmWrite(state: ShardState, version: number): void {
  const { write } = state;
  if (write === undefined) return;
  assertInvariant(
    version > state.version,
    "journal-version-increases",
    () => `went from ${state.version} to ${version}`,
  );
  state.write = undefined;
  state.version = version;
  state.leaseStartMs = write.startedAtMs;
  extendAuthority(state, write.startedAtMs);
  state.window = write.head.window;
  for (const slot of write.releasedSlots) state.releasingSlots.delete(slot);
  for (const [slot, learned] of write.learnedVersions) {
    state.slots[slot].version = learned;
  }
  for (const id of write.callIds) {
    const call = state.calls.get(id);
    if (call?.state === "committing") dispatchCommitted(state, call);
  }
}

/**
 * Counts a lost answer; after the second one nobody waits any longer.
 *
 * A takeover waits until the platform has shown an unchanged head for a whole
 * lease. While the tries of a live owner fail one after the other, no such
 * time has begun before the last try but one.
 */
export function recordLoss(state: ShardState): void {
  const { write } = state;
  if (write === undefined) return;
  write.state = "lost";
  write.losses += 1;
  if (
    write.triedBeforeAtMs !== undefined &&
    write.triedAtMs < state.authorityUntilMs
  ) extendAuthority(state, write.triedBeforeAtMs);
  write.retryAtMs = state.nowMs + (write.losses === 1 ? 0 : Math.min(
    maxRetryMs,
    firstRetryMs * 2 ** Math.min(write.losses, 10),
  ));
  if (!isPlatformDown(state)) return;
  for (const call of [...state.calls.values()]) {
    if (call.state === "dispatched") continue;
    if (state.role.type === "owner") deleteEntry(state, call.key);
    refuseUnavailable(state, call);
  }
}

/** Asks for the head after a conflict. */
export function startSettlement(state: ShardState): void {
  const { write } = state;
  if (write === undefined) return;
  write.state = "reading";
  write.retryAtMs = Number.POSITIVE_INFINITY;
  state.commands.push({ type: "read-head" });
}

/** Says what a head that was read back tells of the pending write. */
export function settleWrite(
  write: PendingWrite,
  read: { version: number; head: JournalHead | undefined },
): "stale" | "own" | "lost" {
  if (read.version <= write.expected || read.head === undefined) return "stale";
  return read.head.writeId === write.head.writeId ? "own" : "lost";
}

/** Reads again after a stale or failed read. */
export function scheduleSettlement(state: ShardState): void {
  if (state.write === undefined) return;
  state.write.retryAtMs = state.nowMs + firstRetryMs;
}

function dispatchCommitted(state: ShardState, call: PendingCall): void {
  if (!isAuthoritative(state) || call.deadlineAtMs <= state.nowMs) {
    withdrawCall(state, call);
    return;
  }
  assertInvariant(
    state.entries.get(call.key)?.state === "intent",
    "intent-before-dispatch",
    () => `call ${call.id} has no intent`,
  );
  call.state = "dispatched";
  state.commands.push({
    type: "dispatch",
    callId: call.id,
    notAfterMs: Math.min(call.deadlineAtMs, state.authorityUntilMs),
  });
}

function createHead(state: ShardState, isRelease: boolean): JournalHead {
  const { owner } = state;
  const entries: LedgerEntry[] = [];
  for (const key of state.headBytes.keys()) {
    const entry = state.entries.get(key);
    if (entry !== undefined) entries.push(entry);
  }
  return {
    owner: isRelease ? undefined : owner,
    writeId: `${owner.name}/${owner.epoch}/${state.writeCount}`,
    floorMs: state.floorMs,
    forgottenThroughMs: state.forgottenThroughMs,
    window: isRelease ? undefined : createWindow(state),
    doubts: [...state.doubts],
    slots: state.slots.map((slot) => ({ ...slot })),
    entries,
  };
}

function createWindow(state: ShardState): KeyWindow | undefined {
  const { outageMode, openWindowMs } = state.getSettings();
  if (outageMode === "refuse") return undefined;
  return {
    fromMs: state.nowMs - windowBackMs,
    limitMs: state.nowMs + openWindowMs,
  };
}

function hasQueued(state: ShardState): boolean {
  for (const call of state.calls.values()) {
    if (call.state === "queued") return true;
  }
  return false;
}

function sendWrite(state: ShardState, write: PendingWrite): void {
  state.commands.push({
    type: "write-head",
    expected: write.expected,
    head: write.head,
  });
}
