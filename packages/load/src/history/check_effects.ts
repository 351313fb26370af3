/** Checks that effects and what callers were told agree. */
import type { MoneyOperation } from "./events.ts";
import type { Call, HistoryIndex } from "./history_index.ts";
import type { Violation } from "./violations.ts";

/** Checks that no call took effect more than once. */
export function checkAtMostOnce(index: HistoryIndex): Violation[] {
  return [...index.effects].filter(([, count]) => count > 1).map(
    ([key, count]) => ({
      check: "at-most-once",
      subject: key,
      detail: `took effect ${count} times`,
    }),
  );
}

/**
 * Checks that what was reported as not run was not run, and that what was
 * reported as done was done.
 */
export function checkNotRun(index: HistoryIndex): Violation[] {
  if (!index.hasEffects) return [];
  const violations: Violation[] = [];
  for (const [key, calls] of groupMoneyCalls(index)) {
    const effects = index.effects.get(key) ?? 0;
    if (effects > 0 && calls.every(isNotRun)) {
      violations.push({
        check: "not-run-promise",
        subject: key,
        detail: "took effect, but every call was told that it was not run",
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

/** A call that moves money. */
export type MoneyCall = Call & { operation: MoneyOperation };

/** Groups money calls by key; a call without one is a group by itself. */
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

function isMoneyCall(call: Call): call is MoneyCall {
  return call.operation.kind === "money";
}

function isNotRun({ outcome }: Call): boolean {
  return outcome?.type === "failed" && outcome.executed === "no";
}

function isAnswered({ outcome }: Call): boolean {
  return outcome?.type === "answered";
}
