import type { Executed, ResultName } from "../results/mod.ts";
import { deleteEntry, isInWindow, setHeadEntry } from "./entries.ts";
import type { LedgerEntry } from "./journal.ts";
import type { LedgerCall } from "./messages.ts";
import { maxHeadBytes, maxIssuedAheadMs } from "./restores.ts";
import { isAuthoritative, type ShardState } from "./shard_state.ts";

/**
 * Maximum fraction of a shard's entries for keys without an issue time. Such
 * keys are never forgotten.
 */
const untimedKeyShare = 0.25;

/** Delay after which a refused caller may retry. */
const retryAfterMs = 1000;

/** Answers, queues or dispatches a call at the owner of the shard. */
export function admitCall(state: ShardState, call: LedgerCall): void {
  const entry = state.entries.get(call.key);
  if (entry !== undefined) answerKnownKey(state, call, entry);
  else if (!refuseNewKey(state, call)) beginCall(state, call);
}

/** Refuses a call and removes it from the pending calls. */
export function refuseCall(
  state: ShardState,
  call: LedgerCall,
  refusal: {
    result: ResultName;
    detail: string;
    executed?: Executed;
    retryAfterMs?: number;
  },
): void {
  state.calls.delete(call.id);
  state.commands.push({
    type: "answer",
    callId: call.id,
    answer: { type: "refused", executed: getExecuted(state, call), ...refusal },
  });
}

/**
 * Refuses a call because the ledger cannot record it: the platform is not
 * reachable, the ownership is lost or the head is full.
 */
export function refuseUnavailable(state: ShardState, call: LedgerCall): void {
  refuseCall(state, call, {
    result: "ledgerUnavailable",
    detail: "Ledger cannot record the call now",
    retryAfterMs,
  });
}

/** Refuses a call because the owner is leaving; another owner will serve it. */
export function refuseLeaving(state: ShardState, call: LedgerCall): void {
  refuseCall(state, call, {
    result: "runnerLeaving",
    detail: "Owner of the shard is leaving",
    retryAfterMs,
  });
}

/** Deletes the intent of a call that will not be dispatched, and refuses it. */
export function cancelCall(state: ShardState, call: LedgerCall): void {
  deleteEntry(state, call.key);
  if (isAuthoritative(state) && call.deadlineAtMs <= state.nowMs) {
    refuseCall(state, call, {
      result: "deadlineUnreachable",
      detail: "Deadline passed before the intent was durable",
    });
  } else refuseUnavailable(state, call);
}

/** Checks whether writes fail repeatedly, not just by one lost answer. */
export function isPlatformDown(state: ShardState): boolean {
  return state.write !== undefined && state.write.lostAnswerCount >= 2;
}

/**
 * Decides whether a refused call may have run. `no` requires proof that no
 * other owner has run the key and that it was not run and then forgotten.
 */
function getExecuted(state: ShardState, call: LedgerCall): Executed {
  if (!isAuthoritative(state)) return "unknown";
  const { issuedAtMs } = call;
  if (issuedAtMs === undefined) {
    return state.nowMs < state.untimedDoubtUntilMs ? "unknown" : "no";
  }
  const isDoubtful = issuedAtMs <= state.forgottenThroughMs ||
    state.doubts.some((doubt) => isInWindow(doubt, issuedAtMs));
  return isDoubtful ? "unknown" : "no";
}

function answerKnownKey(
  state: ShardState,
  call: LedgerCall,
  entry: LedgerEntry,
): void {
  if (entry.requestHash !== call.requestHash) {
    refuseCall(state, call, {
      result: "keyReused",
      detail: "Key was used with another request",
      ...(entry.state === "done" ? { executed: "no" as const } : {}),
    });
  } else if (entry.state === "intent") {
    refuseCall(state, call, {
      result: "keyRunning",
      detail: "Request with this key is running",
      executed: "unknown",
      retryAfterMs,
    });
  } else if (entry.state === "unknown") answerUnknownOutcome(state, call);
  else if (entry.answer === undefined) {
    refuseCall(state, call, {
      result: "answerNotKept",
      detail: "Request took effect; its answer was too large to keep",
      executed: "yes",
    });
  } else {
    state.commands.push({
      type: "answer",
      callId: call.id,
      answer: { type: "answered", answer: entry.answer, isStored: true },
    });
  }
}

function answerUnknownOutcome(state: ShardState, call: LedgerCall): void {
  refuseCall(state, call, {
    result: "outcomeUnknown",
    detail: "Request may have taken effect and is never run again",
    executed: "unknown",
  });
}

/**
 * Refuses a key without an entry if it may not be run.
 *
 * @returns whether the call was refused.
 */
function refuseNewKey(state: ShardState, call: LedgerCall): boolean {
  const { windowMs, maximumEntriesPerShard } = state.getSettings();
  if (call.issuedAtMs === undefined) {
    if (state.nowMs < state.untimedDoubtUntilMs) {
      recordDoubt(state, call);
      return true;
    }
    if (state.untimedKeyCount < maximumEntriesPerShard * untimedKeyShare) {
      return refuseIfHeadFull(state, call);
    }
    refuseCall(state, call, {
      result: "keyHistoryFull",
      detail: "History of keys without a time is full, expected a UUIDv7 key",
    });
    return true;
  }
  if (call.issuedAtMs > state.nowMs + maxIssuedAheadMs) {
    refuseCall(state, call, {
      result: "invalidKey",
      detail: "Key was issued in the future",
    });
    return true;
  }
  const { issuedAtMs } = call;
  if (state.doubts.some((doubt) => isInWindow(doubt, issuedAtMs))) {
    recordDoubt(state, call);
    return true;
  }
  if (issuedAtMs < Math.max(state.floorMs, state.nowMs - windowMs)) {
    refuseCall(state, call, {
      result: "keyTooOld",
      detail: "Key was issued before the oldest time kept in the history",
    });
    return true;
  }
  return refuseIfHeadFull(state, call);
}

/** Records that a key may have run, so that it never runs. */
function recordDoubt(state: ShardState, call: LedgerCall): void {
  setHeadEntry(state, createEntry(state, call, "unknown"));
  answerUnknownOutcome(state, call);
}

function refuseIfHeadFull(state: ShardState, call: LedgerCall): boolean {
  if (state.headTotalBytes < maxHeadBytes) return false;
  refuseUnavailable(state, call);
  return true;
}

function beginCall(state: ShardState, call: LedgerCall): void {
  if (canDispatchFromMemory(state, call)) {
    setHeadEntry(state, createEntry(state, call, "intent"));
    state.calls.set(call.id, { ...call, state: "dispatched" });
    state.commands.push({
      type: "dispatch",
      callId: call.id,
      notAfterMs: call.deadlineAtMs,
    });
  } else if (isPlatformDown(state)) refuseUnavailable(state, call);
  else {
    setHeadEntry(state, createEntry(state, call, "intent"));
    state.calls.set(call.id, { ...call, state: "queued" });
  }
}

/**
 * Checks whether a key may run before its intent is durable. That is safe if
 * the window of every head that may be durable now contains the key: any later
 * owner then finds the key in its doubts.
 */
function canDispatchFromMemory(state: ShardState, call: LedgerCall): boolean {
  if (call.issuedAtMs === undefined) return false;
  if (!isInWindow(state.window, call.issuedAtMs)) return false;
  return state.write === undefined ||
    isInWindow(state.write.head.window, call.issuedAtMs);
}

function createEntry(
  state: ShardState,
  call: LedgerCall,
  entryState: LedgerEntry["state"],
): LedgerEntry {
  return {
    key: call.key,
    issuedAtMs: call.issuedAtMs,
    requestHash: call.requestHash,
    recordedAtMs: Math.floor(state.nowMs),
    state: entryState,
    answer: undefined,
  };
}
