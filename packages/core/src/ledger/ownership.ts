import {
  admitCall,
  isPlatformDown,
  refuseLeaving,
  refuseUnavailable,
} from "./calls.ts";
import { startWrite } from "./commits.ts";
import { setHeadEntry } from "./entries.ts";
import { mergeWindows } from "./history.ts";
import type { JournalHead, JournalSegment } from "./journal.ts";
import type { LedgerCall } from "./messages.ts";
import { addRestoreDoubt, isFromCopy } from "./restores.ts";
import { clearJournal, type ShardState } from "./shard_state.ts";

/** Interval at which the head of an owner that may have failed is read. */
const waitingReadMs = 500;

/**
 * Maximum gap between two reads of the head. During a longer gap, an outage
 * may have passed unnoticed, so the wait for the lease restarts.
 */
const maxReadGapMs = 1500;

/** Queues, redirects or refuses a call if this process is not the owner. */
export function enqueueCall(state: ShardState, call: LedgerCall): void {
  const { role } = state;
  if (role.type === "released") answerMoved(state, call, undefined);
  else if (role.type === "waiting" && !call.mayClaim) {
    answerMoved(state, call, role.head);
  } else if (isPlatformDown(state)) refuseUnavailable(state, call);
  else {
    state.calls.set(call.id, { ...call, state: "queued" });
    recordDeadline(state, call);
    if (role.type === "idle") startReading(state);
  }
}

/** Reads the head to find out which process owns the shard. */
export function startReading(state: ShardState): void {
  state.role = { type: "reading" };
  state.commands.push({ type: "read-head" });
}

/**
 * Claims the shard if it is free. Otherwise waits for the owner's lease to
 * expire if a pending call may claim the shard.
 */
export function applyRead(
  state: ShardState,
  read: { version: number; head: JournalHead | undefined },
): void {
  const { version, head } = read;
  const { owner } = head ?? {};
  if (head === undefined || owner === undefined || isSelf(state, owner)) {
    claim(state, version, head);
    return;
  }
  const { role, nowMs } = state;
  const isSame = role.type === "waiting" && role.version === version;
  state.role = {
    type: "waiting",
    version,
    head,
    sinceMs: isSame ? role.sinceMs : nowMs,
    lastReadAtMs: nowMs,
    nextReadAtMs: nowMs + waitingReadMs,
  };
  // A head that changes between two reads has a live owner.
  const isAlive = role.type === "waiting" && !isSame;
  let isWanted = false;
  for (const call of [...state.calls.values()]) {
    if (call.state === "dispatched") continue;
    if (call.mayClaim && !isAlive) isWanted = true;
    else answerMoved(state, call, head);
  }
  if (!isWanted) state.role = { type: "idle" };
}

/** Handles a read of the head while waiting; claims once the lease expired. */
export function applyWaitingRead(
  state: ShardState,
  read: { version: number; head: JournalHead | undefined },
): void {
  const { role } = state;
  if (role.type !== "waiting") return;
  const { leaseMs } = state.getSettings();
  if (state.nowMs - role.lastReadAtMs > maxReadGapMs) {
    role.sinceMs = state.nowMs;
  }
  if (
    read.version === role.version && state.nowMs >= role.sinceMs + leaseMs
  ) claim(state, role.version, role.head);
  else if (read.version >= role.version) applyRead(state, read);
  else role.nextReadAtMs = state.nowMs + waitingReadMs;
}

/**
 * Restarts the wait for the lease after a failed read: the owner may be unable
 * to reach the head as well, and so to renew its lease.
 */
export function restartWait(state: ShardState): void {
  const { role } = state;
  if (role.type !== "waiting") return;
  role.sinceMs = state.nowMs;
  role.lastReadAtMs = state.nowMs;
  role.nextReadAtMs = state.nowMs + waitingReadMs;
}

/** Reads the head of an owner that may have failed, once the read is due. */
export function readWhileWaiting(state: ShardState): void {
  const { role } = state;
  if (role.type !== "waiting" || state.nowMs < role.nextReadAtMs) return;
  role.nextReadAtMs = Number.POSITIVE_INFINITY;
  state.commands.push({ type: "read-head" });
}

/**
 * Refuses the waiting calls because the head cannot be read or the process is
 * leaving.
 */
export function failReading(state: ShardState): void {
  state.role = { type: "idle" };
  for (const call of [...state.calls.values()]) {
    if (call.state === "dispatched") continue;
    if (state.isLeaving) refuseLeaving(state, call);
    else refuseUnavailable(state, call);
  }
}

/** Loads the segments after a successful claim. */
export function startLoading(state: ShardState): void {
  const slots = [];
  for (const [slot, { isUsed, version }] of state.slots.entries()) {
    if (isUsed) slots.push({ slot, version });
  }
  state.role = { type: "loading" };
  if (slots.length === 0) beginOwnership(state);
  else state.commands.push({ type: "read-segments", slots });
}

/** Applies the loaded segments, given in the order of the used slots. */
export function applySegments(
  state: ShardState,
  segments: JournalSegment[],
): void {
  let index = 0;
  for (const [slot, { isUsed }] of state.slots.entries()) {
    if (!isUsed) continue;
    const { entries } = segments[index];
    index += 1;
    state.segmentKeys.set(slot, entries.map((entry) => entry.key));
    for (const entry of entries) {
      const known = state.entries.get(entry.key);
      // A newer segment may hold a late outcome of the same key.
      if (known !== undefined && entry.state !== "done") continue;
      if (state.headBytes.has(entry.key)) continue;
      state.entries.set(entry.key, entry);
      const isUntimed = entry.issuedAtMs === undefined;
      if (known === undefined && isUntimed) state.untimedKeyCount += 1;
    }
  }
  beginOwnership(state);
}

/** Ends the ownership after another process has written the head. */
export function dropOwnership(
  state: ShardState,
  head: JournalHead | undefined,
): void {
  clearJournal(state);
  state.role = { type: "idle" };
  for (const call of [...state.calls.values()]) {
    if (call.state !== "dispatched") answerMoved(state, call, head);
  }
}

/**
 * Refuses the calls whose deadline passed while they waited for an owner. Stops
 * waiting for the lease when no call is left.
 */
export function expireWaitingCalls(state: ShardState): void {
  if (state.nowMs >= state.earliestDeadlineMs) {
    state.earliestDeadlineMs = Number.POSITIVE_INFINITY;
    if (state.role.type !== "owner") refuseExpired(state);
  }
  if (state.role.type === "waiting" && !hasWaitingCall(state)) {
    state.role = { type: "idle" };
  }
}

function refuseExpired(state: ShardState): void {
  for (const call of [...state.calls.values()]) {
    if (call.state === "dispatched") continue;
    if (call.deadlineAtMs > state.nowMs) recordDeadline(state, call);
    else refuseUnavailable(state, call);
  }
}

function recordDeadline(state: ShardState, call: LedgerCall): void {
  state.earliestDeadlineMs = Math.min(
    state.earliestDeadlineMs,
    call.deadlineAtMs,
  );
}

function hasWaitingCall(state: ShardState): boolean {
  for (const call of state.calls.values()) {
    if (call.state !== "dispatched") return true;
  }
  return false;
}

function claim(
  state: ShardState,
  version: number,
  head: JournalHead | undefined,
): void {
  clearJournal(state);
  state.version = version;
  if (head !== undefined) applyHead(state, head);
  if (isFromCopy({ version, head })) addRestoreDoubt(state);
  state.role = { type: "claiming" };
  startWrite(state);
}

/**
 * Loads a head. An intent of a former owner becomes unknown, as it may have
 * been dispatched.
 */
function applyHead(state: ShardState, head: JournalHead): void {
  state.floorMs = head.floorMs;
  state.forgottenThroughMs = head.forgottenThroughMs;
  state.doubts = mergeWindows(
    head.window === undefined ? head.doubts : [...head.doubts, head.window],
  );
  state.untimedDoubtUntilMs = head.untimedDoubtUntilMs;
  state.slots = head.slots.map((slot) => ({ ...slot }));
  for (const entry of head.entries) {
    setHeadEntry(
      state,
      entry.state === "intent" ? { ...entry, state: "unknown" } : { ...entry },
    );
  }
}

function beginOwnership(state: ShardState): void {
  state.role = { type: "owner" };
  for (const call of [...state.calls.values()]) {
    if (call.state === "dispatched") continue;
    state.calls.delete(call.id);
    admitCall(state, call);
  }
}

function answerMoved(
  state: ShardState,
  call: LedgerCall,
  head: JournalHead | undefined,
): void {
  state.calls.delete(call.id);
  state.commands.push({
    type: "answer",
    callId: call.id,
    answer: { type: "moved", owner: head?.owner },
  });
}

function isSelf(
  state: ShardState,
  owner: { name: string; epoch: number },
): boolean {
  return owner.name === state.owner.name && owner.epoch === state.owner.epoch;
}
