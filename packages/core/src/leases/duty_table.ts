import { assertInvariant } from "../results/mod.ts";
import { Table } from "../tables/mod.ts";
import {
  type Duty,
  isSameHolder,
  type Lease,
  type LeaseHolder,
} from "./lease.ts";

/** What a process waits for with regard to a duty. */
export type DutyWait = "read" | "write" | "ping" | undefined;

/** What one process knows of one duty. */
export type DutyRow = {
  duty: Duty;
  /** Absent where the platform has none. */
  lease: Lease | undefined;
  /** Version of the lease object, 0 where there is none. */
  version: number;
  hasRead: boolean;
  waitsFor: DutyWait;
  /** A write whose answer has not come or was lost. */
  attempted: Lease | undefined;
  nextReadAtMs: number;
  nextPingAtMs: number;
  /** Last time at which the holder was known to live. */
  aliveAtMs: number;
  /** Last time at which the platform named this process as the holder. */
  confirmedAtMs: number;
};

/** Everything that lease decisions read and write. */
export type LeaseTables = {
  self: LeaseHolder;
  duties: Table<Duty, DutyRow>;
  /** Time after which an unanswered holder is taken for dead. */
  leaseMs: number;
};

/** Creates the tables of a process that holds nothing. */
export function createLeaseTables(options: {
  self: LeaseHolder;
  leaseMs: number;
}): LeaseTables {
  return { ...options, duties: Table.create<Duty, DutyRow>() };
}

/** Adds a duty that the process may come to hold. */
export function addDuty(tables: LeaseTables, duty: Duty): void {
  if (tables.duties.has(duty)) return;
  tables.duties.set(duty, {
    duty,
    lease: undefined,
    version: 0,
    hasRead: false,
    waitsFor: undefined,
    attempted: undefined,
    nextReadAtMs: 0,
    nextPingAtMs: 0,
    aliveAtMs: 0,
    confirmedAtMs: Number.NEGATIVE_INFINITY,
  });
}

/** Says whether this process may act on a duty. */
export function isHeld(
  tables: LeaseTables,
  duty: Duty,
  nowMs: number,
): boolean {
  const row = tables.duties.get(duty);
  return row !== undefined && isHeldBySelf(tables, row) &&
    nowMs - row.confirmedAtMs < tables.leaseMs;
}

/** Says whether the last lease that was read names this process. */
export function isHeldBySelf(tables: LeaseTables, row: DutyRow): boolean {
  return isSameHolder(row.lease?.holder, tables.self);
}

/** A lease object as the platform gave it. */
export type StoredLease = { lease: Lease; version: number };

/** Takes in a read; an older version than the known one is a stale read. */
export function applyLeaseRead(
  tables: LeaseTables,
  duty: Duty,
  options: { stored: StoredLease | undefined; nowMs: number },
): void {
  const row = tables.duties.get(duty);
  if (row === undefined) return;
  const { nowMs, stored } = options;
  row.waitsFor = undefined;
  row.hasRead = true;
  if (stored === undefined || stored.version < row.version) return;
  setLease(tables, row, { stored, nowMs });
}

/** Takes in that a write took effect. */
export function applyLeaseWritten(
  tables: LeaseTables,
  duty: Duty,
  options: { version: number; nowMs: number },
): void {
  const row = tables.duties.get(duty);
  if (row?.attempted === undefined) return;
  const { nowMs, version } = options;
  row.waitsFor = undefined;
  setLease(tables, row, { stored: { lease: row.attempted, version }, nowMs });
}

/** Takes in that a read, write or ping failed; its outcome is read again. */
export function applyLeaseFailure(
  tables: LeaseTables,
  duty: Duty,
  nowMs: number,
): void {
  const row = tables.duties.get(duty);
  if (row === undefined) return;
  if (row.waitsFor === "write") {
    row.nextReadAtMs = nowMs;
    row.hasRead = false;
  }
  row.waitsFor = undefined;
}

/** Takes in that the holder answered that it holds the duty. */
export function applyHolderAlive(
  tables: LeaseTables,
  duty: Duty,
  nowMs: number,
): void {
  const row = tables.duties.get(duty);
  if (row === undefined) return;
  row.waitsFor = undefined;
  row.aliveAtMs = nowMs;
}

function setLease(
  tables: LeaseTables,
  row: DutyRow,
  options: { stored: StoredLease; nowMs: number },
): void {
  const { stored, nowMs } = options;
  const before = row.lease;
  assertInvariant(
    stored.lease.fencingNumber >= (before?.fencingNumber ?? 0),
    "lease-fencing-number-never-decreases",
    () =>
      `${row.duty} went from ${before?.fencingNumber} to ` +
      `${stored.lease.fencingNumber}`,
  );
  if (!isSameHolder(before?.holder, stored.lease.holder)) {
    row.aliveAtMs = nowMs;
  }
  row.lease = stored.lease;
  row.version = stored.version;
  row.attempted = undefined;
  if (isHeldBySelf(tables, row)) row.confirmedAtMs = nowMs;
}
