/** Checks that effects agree with the outcomes that callers received. */
import type { MoneyOperation } from "./events.ts";
import type { Call, HistoryIndex } from "./history_index.ts";
import type { Violation } from "./violations.ts";

/** Checks that no money call took effect more than once. */
export function checkAtMostOnce(index: HistoryIndex): Violation[] {
  const repeated = [...index.effects].filter(([key, count]) =>
    count > 1 && !isIdempotent(index.calls.get(key))
  );
  return repeated.map(
    ([key, count]) => ({
      check: "at-most-once",
      subject: key,
      detail: `took effect ${count} times`,
    }),
  );
}

/**
 * Checks that no call reported as not run took effect, and that every answered
 * money call did.
 */
export function checkReportedExecution(index: HistoryIndex): Violation[] {
  if (index.knownEffects === "none") return [];
  const violations = findExecutedIdempotentCalls(index);
  for (const [key, calls] of groupMoneyCalls(index)) {
    if (!isEffectKnown(index, calls[0])) continue;
    const effects = index.effects.get(key) ?? 0;
    if (effects > 0 && calls.every(isNotRun)) {
      violations.push({
        check: "not-run-promise",
        subject: key,
        detail: "took effect, but every call was reported as not run",
      });
    }
    if (effects === 0 && calls.some(isAnswered)) {
      violations.push({
        check: "not-run-promise",
        subject: key,
        detail: "took no effect, but a call was answered",
      });
    }
  }
  return violations;
}

function isEffectKnown(index: HistoryIndex, call: MoneyCall): boolean {
  return index.knownEffects === "all" || call.operation.key !== undefined;
}

/** Finds chats and lookups that ran although they were reported as not run. */
function findExecutedIdempotentCalls(index: HistoryIndex): Violation[] {
  const calls = [...index.calls.values()].filter((call) =>
    isIdempotent(call) && isNotRun(call) && index.effects.has(call.id)
  );
  return calls.map(({ id }) => ({
    check: "not-run-promise",
    subject: id,
    detail: "was run, but was reported as not run",
  }));
}

/** A call that moves money. */
export type MoneyCall = Call & { operation: MoneyOperation };

/** Groups money calls by key; a call without a key forms its own group. */
export function groupMoneyCalls(
  index: HistoryIndex,
): Map<string, MoneyCall[]> {
  const groups = new Map<string, MoneyCall[]>();
  for (const call of index.calls.values()) {
    if (!isMoneyCall(call)) continue;
    const key = call.operation.key ?? call.id;
    const group = groups.get(key);
    if (group === undefined) groups.set(key, [call]);
    else group.push(call);
  }
  return groups;
}

/** Whether a call may run more than once: chats and lookups may. */
function isIdempotent(call: Call | undefined): boolean {
  return call !== undefined && call.operation.kind !== "money";
}

function isMoneyCall(call: Call): call is MoneyCall {
  return call.operation.kind === "money";
}

function isNotRun({ outcome }: Call): boolean {
  return outcome?.type === "failed" && outcome.executed === "no";
}

function isAnswered({ outcome }: Call): boolean {
  return outcome?.type === "answered";
}
