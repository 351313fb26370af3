import { assertInvariant } from "../results/mod.ts";
import { encodePosition } from "../store/mod.ts";
import { Table } from "../tables/mod.ts";
import { getFencingEpoch } from "./fencing_number.ts";
import {
  type Duty,
  isSameHolder,
  type Lease,
  type LeaseHolder,
} from "./lease.ts";

/** Operation on a duty whose result is outstanding. */
export type PendingOperation = "read" | "write" | "ping" | undefined;

/** State of one duty as one process last observed it. */
export type DutyRow = {
  duty: Duty;
  /** Last observed lease; absent if the platform has none. */
  lease: Lease | undefined;
  /** Encoded position of the lease object; of revision 0 if there is none. */
  version: number;
  /** False until the first read and after a failed write. */
  hasRead: boolean;
  pendingOperation: PendingOperation;
  /** Lease of a write that is in flight or whose response was lost. */
  attempted: Lease | undefined;
  nextReadAtMs: number;
  nextPingAtMs: number;
  /** Time of the last evidence that the holder is alive. */
  aliveAtMs: number;
  /** Last time at which the platform confirmed this process as holder. */
  confirmedAtMs: number;
};

/** State of the lease decisions of one process. */
export type LeaseTables = {
  self: LeaseHolder;
  duties: Table<Duty, DutyRow>;
  /** Time without a response after which a holder is considered dead. */
  leaseMs: number;
  /** Epoch of the store. Leases that were written in earlier ones are void. */
  storeEpoch: number;
};

/** Creates the tables of a process that holds no duty. */
export function createLeaseTables(options: {
  self: LeaseHolder;
  leaseMs: number;
}): LeaseTables {
  return { ...options, duties: Table.create<Duty, DutyRow>(), storeEpoch: 0 };
}

/** Adds a duty that the process may acquire. */
export function addDuty(tables: LeaseTables, duty: Duty): void {
  if (tables.duties.has(duty)) return;
  tables.duties.set(duty, {
    duty,
    lease: undefined,
    version: 0,
    hasRead: false,
    pendingOperation: undefined,
    attempted: undefined,
    nextReadAtMs: 0,
    nextPingAtMs: 0,
    aliveAtMs: 0,
    confirmedAtMs: Number.NEGATIVE_INFINITY,
  });
}

/**
 * Reports whether this process may act on a duty: the platform named it as the
 * holder within the last `leaseMs`.
 */
export function isHeld(
  tables: LeaseTables,
  duty: Duty,
  nowMs: number,
): boolean {
  const row = tables.duties.get(duty);
  return row !== undefined && isHeldBySelf(tables, row) &&
    nowMs - row.confirmedAtMs < tables.leaseMs;
}

/** Reports whether the last observed lease names this process as holder. */
export function isHeldBySelf(tables: LeaseTables, row: DutyRow): boolean {
  return !isVoid(tables, row) && isSameHolder(row.lease?.holder, tables.self);
}

/** Reports whether the last observed lease is of an earlier epoch. */
export function isVoid(tables: LeaseTables, row: DutyRow): boolean {
  return row.lease !== undefined &&
    getFencingEpoch(row.lease.fencingNumber) < tables.storeEpoch;
}

/**
 * Applies the epoch of the store. In a new one, what was known of the leases is
 * dropped and read again: a restored store may hold older ones, or none.
 */
export function applyStoreEpoch(tables: LeaseTables, storeEpoch: number): void {
  if (storeEpoch <= tables.storeEpoch) return;
  tables.storeEpoch = storeEpoch;
  for (const row of tables.duties.rows()) {
    row.lease = undefined;
    row.version = encodePosition({ epoch: storeEpoch, revision: 0 });
    row.hasRead = false;
    row.attempted = undefined;
  }
}

/** A lease object with its version, as read from the platform. */
export type StoredLease = { lease: Lease; version: number };

/**
 * Applies the result of a read. A version older than the one observed before
 * is a stale read and is ignored.
 */
export function applyLeaseRead(
  tables: LeaseTables,
  duty: Duty,
  options: { stored: StoredLease | undefined; nowMs: number },
): void {
  const row = tables.duties.get(duty);
  if (row === undefined) return;
  const { nowMs, stored } = options;
  row.pendingOperation = undefined;
  row.hasRead = true;
  if (stored === undefined || stored.version < row.version) return;
  setLease(tables, row, { stored, nowMs });
}

/** Applies a write that took effect. */
export function applyLeaseWritten(
  tables: LeaseTables,
  duty: Duty,
  options: { version: number; nowMs: number },
): void {
  const row = tables.duties.get(duty);
  if (row === undefined) return;
  row.pendingOperation = undefined;
  if (row.attempted === undefined) return;
  const { nowMs, version } = options;
  setLease(tables, row, { stored: { lease: row.attempted, version }, nowMs });
}

/**
 * Applies the failure of a read, write or ping. After a failed write the lease
 * is read again, since the write may have taken effect.
 */
export function applyLeaseFailure(
  tables: LeaseTables,
  duty: Duty,
  nowMs: number,
): void {
  const row = tables.duties.get(duty);
  if (row === undefined) return;
  if (row.pendingOperation === "write") {
    row.nextReadAtMs = nowMs;
    row.hasRead = false;
  }
  row.pendingOperation = undefined;
}

/** Applies a ping to which the holder replied that it holds the duty. */
export function applyHolderAlive(
  tables: LeaseTables,
  duty: Duty,
  nowMs: number,
): void {
  const row = tables.duties.get(duty);
  if (row === undefined) return;
  row.pendingOperation = undefined;
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
