/**
 * Checks that each idempotency key is linearizable as a register that is set
 * once: Wing and Gong's search (1993) with Lowe's memory of visited states
 * (2017), by key.
 */
import { resultCodes } from "@jasminetide/core/results";
import { groupMoneyCalls, type MoneyCall } from "./check_effects.ts";
import type { HistoryIndex } from "./history_index.ts";
import type { Violation } from "./violations.ts";

/** State of a key: the body that was run, and its answer where known. */
type Register =
  | { type: "unset" }
  | { type: "set"; body: string; answer: string | undefined };

/** Checks every key that calls have used. */
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
  return canOrder(ordered, { type: "unset" }, visited);
}

function canOrder(
  remaining: readonly MoneyCall[],
  state: Register,
  visited: Set<string>,
): boolean {
  if (remaining.length === 0) return true;
  const ids = remaining.map((call) => call.id).join(" ");
  const memory = `${ids} ${JSON.stringify(state)}`;
  if (visited.has(memory)) return false;
  visited.add(memory);
  const firstEndMs = Math.min(...remaining.map((call) => call.completedAtMs));
  return remaining.some((call) => {
    // A call that began after another had ended cannot come before it.
    if (call.invokedAtMs > firstEndMs) return false;
    const rest = remaining.filter((other) => other !== call);
    return listNextStates(state, call).some((next) =>
      canOrder(rest, next, visited)
    );
  });
}

/** States that a call may leave, given what it was told; none if it lies. */
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
    const isOther = state.answer !== undefined && state.answer !== call.answer;
    if (isOther) return [];
  }
  return [{ type: "set", ...call }];
}

/** A refusal for another body needs that body to have come first. */
function isAllowedRefusal(
  state: Register,
  call: { body: string; code: number },
): boolean {
  if (call.code !== resultCodes.keyReused.code) return true;
  return state.type === "set" && state.body !== call.body;
}
