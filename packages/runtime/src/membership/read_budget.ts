import type { MembershipTables } from "@jasminetide/core/membership";

/** Share of the byte budget of gossip that host list reads may use. */
const readShare = 0.1;

/** Bytes that may be read in a burst before reads are delayed. */
const burstBytes = 65_536;

/** Bytes read beyond the budgeted rate, as a debt that decreases over time. */
export type ReadBudget = { debtBytes: number; updatedAtMs: number };

/** Creates a budget without debt. */
export function createReadBudget(nowMs: number): ReadBudget {
  return { debtBytes: 0, updatedAtMs: nowMs };
}

/**
 * Charges a read to the budget.
 *
 * @returns time in milliseconds before the next read is allowed.
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
