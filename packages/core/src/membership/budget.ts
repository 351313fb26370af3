import { assertInvariant } from "../results/mod.ts";
import type { MembershipTables } from "./tables.ts";

/** IPv4 and UDP headers and the authentication code of one datagram. */
export const framingBytes = 44;

/** Share of the budget for sending; as much again is received on average. */
const sendShare = 0.4;

/** Longest burst that the budget lets through at once. */
const burstSeconds = 1;

/** What a process may still send and what it has sent. */
export type ByteBudget = {
  /** Bytes that may be sent now; below 0 after a large burst. */
  allowanceBytes: number;
  updatedAtMs: number;
  /** Bytes sent since the process began, framing included. */
  sentBytes: number;
  /** Datagrams sent since the process began. */
  datagrams: number;
};

/** Creates a budget that allows one burst. */
export function createByteBudget(
  tables: MembershipTables,
  nowMs: number,
): ByteBudget {
  return {
    allowanceBytes: getSendBudget(tables) * burstSeconds,
    updatedAtMs: nowMs,
    sentBytes: 0,
    datagrams: 0,
  };
}

/** Bytes a second that a process may send, framing included. */
export function getSendBudget(tables: MembershipTables): number {
  return tables.limits.budgetBytesPerSecond * sendShare;
}

/** Adds what the time since the last update has earned. */
export function updateBudget(
  budget: ByteBudget,
  options: { tables: MembershipTables; nowMs: number },
): void {
  const { nowMs, tables } = options;
  const rate = getSendBudget(tables);
  const gained = rate * (nowMs - budget.updatedAtMs) / 1000;
  budget.updatedAtMs = nowMs;
  budget.allowanceBytes = Math.min(
    rate * burstSeconds,
    budget.allowanceBytes + gained,
  );
}

/**
 * Takes one datagram from the budget. Own state, answers and questions may
 * overdraw it by one burst, no more.
 */
export function spendBudget(
  budget: ByteBudget,
  options: { tables: MembershipTables; sizeBytes: number },
): void {
  const bytes = options.sizeBytes + framingBytes;
  budget.allowanceBytes -= bytes;
  budget.sentBytes += bytes;
  budget.datagrams += 1;
  const limit = getSendBudget(options.tables) * burstSeconds;
  assertInvariant(
    budget.allowanceBytes >= -limit,
    "digest-budget",
    () => `overdrawn by ${-budget.allowanceBytes} of ${limit} bytes`,
  );
}

/** Says whether a datagram outside the ordinary rounds is affordable. */
export function canSpend(budget: ByteBudget, sizeBytes: number): boolean {
  return budget.allowanceBytes >= sizeBytes + framingBytes;
}
