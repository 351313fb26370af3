/**
 * Checks that the calls of each idempotency key are linearizable as operations
 * on a write-once register. Runs the search of Wing and Gong (1993) with Lowe's
 * cache of visited states (2017), separately for each key.
 */
import { resultCodes } from "@jasminetide/core/results";
import { groupMoneyCalls, type MoneyCall } from "./check_effects.ts";
import type { HistoryIndex } from "./history_index.ts";
import type { Violation } from "./violations.ts";

/** State of a key: the body that was run, and its answer if known. */
type Register =
  | { type: "unset" }
  | { type: "set"; body: string; answer: string | undefined };

/** Checks every key that appears in the calls. */
export function checkMoneyKeys(index: HistoryIndex): Violation[] {
  return [...groupMoneyCalls(index)].flatMap(([key, calls]) =>
    isLinearizable(calls) ? [] : [{
      check: "money-key-linearizable" as const,
      subject: key,
      detail: `no order of its ${calls.length} calls explains their outcomes`,
    }]
  );
}

function isLinearizable(calls: readonly MoneyCall[]): boolean {
  const ordered = [...calls].sort((left, right) =>
    left.invokedAtMs - right.invokedAtMs
  );
  const visited = new Set<string>();
  return canLinearize(ordered, { type: "unset" }, visited);
}

function canLinearize(
  remaining: readonly MoneyCall[],
  state: Register,
  visited: Set<string>,
): boolean {
  if (remaining.length === 0) return true;
  const ids = remaining.map((call) => call.id).join(" ");
  const visitedKey = `${ids} ${JSON.stringify(state)}`;
  if (visited.has(visitedKey)) return false;
  visited.add(visitedKey);
  const firstEndMs = Math.min(...remaining.map((call) => call.completedAtMs));
  return remaining.some((call) => {
    // A call that began after another had ended cannot be ordered before it.
    if (call.invokedAtMs > firstEndMs) return false;
    const rest = remaining.filter((other) => other !== call);
    return listNextStates(state, call).some((next) =>
      canLinearize(rest, next, visited)
    );
  });
}

/** Possible states after a call with its outcome; none if inconsistent. */
function listNextStates(state: Register, call: MoneyCall): Register[] {
  const { outcome } = call;
  const body = JSON.stringify([call.operation.account, call.operation.amount]);
  if (outcome?.type === "answered") {
    return applyAnswer(state, { body, answer: outcome.answer });
  }
  if (outcome?.type === "failed" && outcome.executed === "no") {
    return isAllowedRefusal(state, { body, code: outcome.code }) ? [state] : [];
  }
  return state.type === "set"
    ? [state]
    : [state, { type: "set", body, answer: undefined }];
}

function applyAnswer(
  state: Register,
  call: { body: string; answer: string },
): Register[] {
  if (state.type === "set") {
    if (state.body !== call.body) return [];
    const isDifferentAnswer = state.answer !== undefined &&
      state.answer !== call.answer;
    if (isDifferentAnswer) return [];
  }
  return [{ type: "set", ...call }];
}

/** `keyReused` requires that the key was set before with another body. */
function isAllowedRefusal(
  state: Register,
  call: { body: string; code: number },
): boolean {
  if (call.code !== resultCodes.keyReused.code) return true;
  return state.type === "set" && state.body !== call.body;
}
