import { assertInvariant } from "../results/mod.ts";
import { decodePosition } from "../store/mod.ts";
import { cancelCall, isPlatformDown, refuseUnavailable } from "./calls.ts";
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

/**
 * Maximum delay before outcomes are written in `refuse` mode, where each intent
 * is written before its dispatch.
 */
const outcomeFlushMs = 200;

/** Maximum delay before changes are written in `open-window` mode. */
const windowFlushMs = 2500;

/** How far a key window reaches back before the time of its write. */
const windowLookbackMs = 10_000;

/** Fraction of the lease after which an idle owner renews it. */
const renewalShare = 0.5;

/** Delay before the head is read again; base of the write backoff. */
const firstRetryMs = 50;

/** Maximum backoff between attempts to write the head. */
const maxRetryMs = 1000;

/** Gets the time at which the next write or retry is due, if there is one. */
export function getWriteDueMs(state: ShardState): number | undefined {
  if (state.write !== undefined) {
    return state.write.state === "sent" ? undefined : state.write.retryAtMs;
  }
  const { groupCommitMs, leaseMs, outageMode, openWindowMs } = state
    .getSettings();
  const dues: number[] = [];
  if (hasQueuedCall(state)) dues.push(state.lastWriteAtMs + groupCommitMs);
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

/** Starts to write the head, with all intents and outcomes recorded so far. */
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
    lastAttemptAtMs: state.nowMs,
    previousAttemptAtMs: undefined,
    callIds,
    state: "sent",
    lostAnswerCount: 0,
    retryAtMs: 0,
    observedSlotVersions: state.observedSlotVersions,
    releasedSlots: [...state.releasingSlots],
  };
  state.observedSlotVersions = new Map();
  state.dirtySinceMs = undefined;
  state.lastWriteAtMs = state.nowMs;
  sendWrite(state, state.write);
}

/** Resends a write whose answer was lost, or reads the head again. */
export function retryWrite(state: ShardState, write: PendingWrite): void {
  if (write.state === "reading") {
    write.retryAtMs = Number.POSITIVE_INFINITY;
    state.commands.push({ type: "read-head" });
  } else {
    write.state = "sent";
    write.previousAttemptAtMs = write.lastAttemptAtMs;
    write.lastAttemptAtMs = state.nowMs;
    sendWrite(state, write);
  }
}

/** Completes a successful write and dispatches the calls it committed. */
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
  for (const [slot, observed] of write.observedSlotVersions) {
    state.slots[slot].version = observed;
  }
  for (const id of write.callIds) {
    const call = state.calls.get(id);
    if (call?.state === "committing") dispatchCommitted(state, call);
  }
}

/**
 * Records that the answer to a write was lost. From the second lost answer on,
 * pending calls are refused instead of waiting.
 *
 * A process that takes over first waits until reads have shown an unchanged
 * head for a whole lease. While the attempts of a live owner fail one after the
 * other, that wait cannot have begun before the last attempt but one.
 */
export function recordLostAnswer(state: ShardState): void {
  const { write } = state;
  if (write === undefined) return;
  write.state = "lost";
  write.lostAnswerCount += 1;
  if (
    write.previousAttemptAtMs !== undefined &&
    write.lastAttemptAtMs < state.authorityUntilMs
  ) extendAuthority(state, write.previousAttemptAtMs);
  write.retryAtMs = state.nowMs + (write.lostAnswerCount === 1 ? 0 : Math.min(
    maxRetryMs,
    firstRetryMs * 2 ** Math.min(write.lostAnswerCount, 10),
  ));
  if (!isPlatformDown(state)) return;
  for (const call of [...state.calls.values()]) {
    if (call.state === "dispatched") continue;
    if (state.role.type === "owner") deleteEntry(state, call.key);
    refuseUnavailable(state, call);
  }
}

/** Reads the head after a conflict, to determine the result of the write. */
export function startSettlement(state: ShardState): void {
  const { write } = state;
  if (write === undefined) return;
  write.state = "reading";
  write.retryAtMs = Number.POSITIVE_INFINITY;
  state.commands.push({ type: "read-head" });
}

/** Determines the result of the pending write from a head read after it. */
export function settleWrite(
  write: PendingWrite,
  read: { version: number; head: JournalHead | undefined },
): "stale" | "own" | "lost" | "restored" {
  const { epoch } = decodePosition(read.version);
  if (epoch > decodePosition(write.expected).epoch) return "restored";
  if (read.version <= write.expected || read.head === undefined) return "stale";
  return read.head.writeId === write.head.writeId ? "own" : "lost";
}

/** Schedules another read after a stale or failed one. */
export function scheduleSettlement(state: ShardState): void {
  if (state.write === undefined) return;
  state.write.retryAtMs = state.nowMs + firstRetryMs;
}

function dispatchCommitted(state: ShardState, call: PendingCall): void {
  if (!isAuthoritative(state) || call.deadlineAtMs <= state.nowMs) {
    cancelCall(state, call);
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
    storeEpoch: decodePosition(state.version).epoch,
    floorMs: state.floorMs,
    forgottenThroughMs: state.forgottenThroughMs,
    window: isRelease ? undefined : createWindow(state),
    doubts: [...state.doubts],
    untimedDoubtUntilMs: state.untimedDoubtUntilMs,
    slots: state.slots.map((slot) => ({ ...slot })),
    entries,
  };
}

function createWindow(state: ShardState): KeyWindow | undefined {
  const { outageMode, openWindowMs } = state.getSettings();
  if (outageMode === "refuse") return undefined;
  return {
    fromMs: state.nowMs - windowLookbackMs,
    limitMs: state.nowMs + openWindowMs,
  };
}

function hasQueuedCall(state: ShardState): boolean {
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
