import { assertInvariant } from "../results/mod.ts";
import type { MembershipTables } from "./tables.ts";

/** Bytes of the IPv4 and UDP headers and the authentication code. */
export const framingBytes = 44;

/**
 * Share of the byte budget used for sending. On average a process receives as
 * many bytes as it sends, so both directions together stay within the budget.
 */
const sendShare = 0.4;

/** Size of the largest burst, in seconds of the sending rate. */
const burstSeconds = 1;

/** Token bucket that limits the bytes of digests sent, with send counters. */
export type ByteBudget = {
  /** Bytes that may be sent now; below 0 after a large burst. */
  allowanceBytes: number;
  updatedAtMs: number;
  /** Bytes sent since the process began, framing included. */
  sentBytes: number;
  /** Datagrams sent since the process began. */
  datagrams: number;
};

/** Creates a budget with one full burst available. */
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

/** Gets the bytes per second that a process may send, framing included. */
export function getSendBudget(tables: MembershipTables): number {
  return tables.limits.budgetBytesPerSecond * sendShare;
}

/** Refills the allowance for the time since the last update. */
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
 * Deducts one datagram from the allowance. A process's own state, and its
 * requests for records and answers to them, may overdraw the allowance by at
 * most one burst.
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

/** Checks whether the allowance covers a datagram outside the rounds. */
export function canSpend(budget: ByteBudget, sizeBytes: number): boolean {
  return budget.allowanceBytes >= sizeBytes + framingBytes;
}
