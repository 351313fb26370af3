import { refuseCall } from "./calls.ts";
import { deleteEntry, setHeadEntry } from "./entries.ts";
import {
  getAnswerBytes,
  type LedgerEntry,
  type StoredAnswer,
} from "./journal.ts";
import type { CallId, CallOutcome, LedgerCall } from "./messages.ts";
import type { ShardState } from "./shard_state.ts";

/** Maximum size of a stored answer, including its headers, in bytes. */
const maxAnswerBytes = 16_384;

/** Records the outcome of a dispatched call and answers its caller. */
export function recordOutcome(
  state: ShardState,
  callId: CallId,
  outcome: CallOutcome,
): void {
  const call = state.calls.get(callId);
  if (call === undefined) return;
  state.calls.delete(callId);
  const entry = state.entries.get(call.key);
  switch (outcome.type) {
    case "answered":
      if (entry !== undefined) completeEntry(state, entry, outcome.answer);
      state.commands.push({
        type: "answer",
        callId,
        answer: { type: "answered", answer: outcome.answer, isStored: false },
      });
      break;
    case "not-run":
      refuseNotRun(state, call, entry);
      break;
    case "unknown":
      if (entry?.state === "intent") {
        setHeadEntry(state, { ...entry, state: "unknown" });
      }
      refuseCall(state, call, {
        result: "outcomeUnknown",
        detail: outcome.detail,
        executed: "unknown",
      });
  }
}

/**
 * Marks an entry as done and stores its answer. A late outcome also completes
 * an entry that became unknown in a takeover.
 */
function completeEntry(
  state: ShardState,
  entry: LedgerEntry,
  answer: StoredAnswer,
): void {
  if (entry.state === "done") return;
  const isKept = getAnswerBytes(answer) <= maxAnswerBytes;
  setHeadEntry(state, {
    ...entry,
    state: "done",
    answer: isKept ? answer : undefined,
  });
}

function refuseNotRun(
  state: ShardState,
  call: LedgerCall,
  entry: LedgerEntry | undefined,
): void {
  if (entry?.state === "intent") deleteEntry(state, call.key);
  refuseCall(state, call, {
    result: "runnerRefused",
    detail: "Runner was not reached",
    executed: "no",
  });
}
