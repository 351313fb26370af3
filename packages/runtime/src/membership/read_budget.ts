import type { MembershipTables } from "@jasminetide/core/membership";

/** Share of the budget that reads of the host list may take. */
const readShare = 0.1;

/** Bytes that may be read at once before reads become rarer. */
const burstBytes = 65_536;

/** Bytes read that have not been earned yet. */
export type ReadBudget = { debtBytes: number; updatedAtMs: number };

/** Creates a budget without a debt. */
export function createReadBudget(nowMs: number): ReadBudget {
  return { debtBytes: 0, updatedAtMs: nowMs };
}

/**
 * Takes a read from the budget.
 *
 * @returns time for which the next read has to wait.
 */
export function spendReadBudget(
  budget: ReadBudget,
  options: { tables: MembershipTables; sizeBytes: number; nowMs: number },
): number {
  const { nowMs, sizeBytes, tables } = options;
  const rate = tables.limits.budgetBytesPerSecond * readShare;
  const earnedBytes = rate * (nowMs - budget.updatedAtMs) / 1000;
  budget.debtBytes = Math.max(0, budget.debtBytes - earnedBytes) + sizeBytes;
  budget.updatedAtMs = nowMs;
  return Math.max(0, budget.debtBytes - burstBytes) / rate * 1000;
}
