import { hash32 } from "../hashing/mod.ts";
import {
  type DutyRow,
  isHeldBySelf,
  isVoid,
  type LeaseTables,
} from "./duty_table.ts";
import { getNextFencingNumber } from "./fencing_number.ts";
import type { Duty, Lease, LeaseHolder } from "./lease.ts";

/** Operation that the caller of `updateLeases` has to carry out. */
export type LeaseCommand =
  | { type: "read-lease"; duty: Duty }
  | {
    type: "write-lease";
    duty: Duty;
    lease: Lease;
    /** Encoded position to replace; of revision 0 if there is no lease. */
    expectedVersion: number;
  }
  | { type: "ping-holder"; duty: Duty; holder: LeaseHolder };

/** A router that may hold a duty. */
export type LeaseCandidate = { name: string; epoch: number };

/** Input of lease decisions at one tick. */
export type LeaseTick = {
  nowMs: number;
  /** Live routers that are not leaving, including this one. */
  candidates: LeaseCandidate[];
  isLeaving: boolean;
  createAttempt: () => string;
};

/**
 * Number of candidates, the first in rank, that watch the holder of a duty and
 * may take the duty over.
 */
const watchersPerDuty = 3;

/** Longest time between reads of a lease. */
const readPeriodMs = 5000;

/** Time between reads while the holder is leaving: no longer a candidate. */
const handOverReadPeriodMs = 500;

/** Time between pings of a holder. */
const pingPeriodMs = 3000;

/** Takeover delay per rank, so that a watcher ranked higher acts first. */
const rankDelayMs = 2000;

/**
 * Decides which leases to read and write and which holders to ping. A lease is
 * written only when its holder changes, and not to renew it: watchers ping the
 * holder to find out whether it is alive, and orders of a dead or paused holder
 * are rejected by their fencing number.
 */
export function updateLeases(
  tables: LeaseTables,
  tick: LeaseTick,
): LeaseCommand[] {
  const commands: LeaseCommand[] = [];
  for (const row of tables.duties.rows()) {
    if (row.pendingOperation !== undefined) continue;
    const command = isHeldBySelf(tables, row)
      ? updateHeld(tables, row, tick)
      : updateWatched(tables, row, tick);
    if (command !== undefined) commands.push(command);
  }
  return commands;
}

/** Ranks the candidates for a duty by rendezvous hashing. */
export function rankCandidates(
  duty: Duty,
  candidates: readonly LeaseCandidate[],
): LeaseCandidate[] {
  return candidates
    .map((candidate) => ({
      candidate,
      score: hash32(`${duty}/${candidate.name}`),
    }))
    .sort((left, right) => left.score - right.score)
    .map(({ candidate }) => candidate);
}

function updateHeld(
  tables: LeaseTables,
  row: DutyRow,
  tick: LeaseTick,
): LeaseCommand | undefined {
  const { fencingNumber } = row.lease ?? { fencingNumber: 0 };
  if (tick.isLeaving) {
    return createWrite(row, { fencingNumber, attempt: tick.createAttempt() });
  }
  return createRead(tables, row, tick);
}

function updateWatched(
  tables: LeaseTables,
  row: DutyRow,
  tick: LeaseTick,
): LeaseCommand | undefined {
  if (tick.isLeaving) return undefined;
  const rank = rankCandidates(row.duty, tick.candidates)
    .findIndex(({ name }) => name === tables.self.name);
  if (rank < 0 || rank >= watchersPerDuty) return undefined;
  if (!row.hasRead || tick.nowMs >= row.nextReadAtMs) {
    return createRead(tables, row, tick);
  }
  if (!isHolderListed(row, tick)) {
    row.nextReadAtMs = Math.min(
      row.nextReadAtMs,
      tick.nowMs + handOverReadPeriodMs,
    );
  }
  const waitMs = getTakeoverDelayMs(tables, row, tick) + rank * rankDelayMs;
  if (tick.nowMs - row.aliveAtMs >= waitMs) {
    return createTakeover(tables, row, tick);
  }
  const holder = row.lease?.holder;
  if (holder === undefined || tick.nowMs < row.nextPingAtMs) return undefined;
  row.nextPingAtMs = tick.nowMs + pingPeriodMs;
  row.pendingOperation = "ping";
  return { type: "ping-holder", duty: row.duty, holder };
}

function isHolderListed(row: DutyRow, tick: LeaseTick): boolean {
  const holder = row.lease?.holder;
  return holder === undefined ||
    tick.candidates.some(({ name }) => name === holder.name);
}

/** Time without evidence of a live holder before a takeover is allowed. */
function getTakeoverDelayMs(
  tables: LeaseTables,
  row: DutyRow,
  tick: LeaseTick,
): number {
  const holder = row.lease?.holder;
  if (holder === undefined || isVoid(tables, row)) return 0;
  const candidate = tick.candidates.find(({ name }) => name === holder.name);
  const isReplaced = candidate !== undefined &&
    candidate.epoch > holder.epoch;
  return isReplaced ? 0 : tables.leaseMs;
}

function createTakeover(
  tables: LeaseTables,
  row: DutyRow,
  tick: LeaseTick,
): LeaseCommand {
  return createWrite(row, {
    holder: tables.self,
    fencingNumber: getNextFencingNumber(
      row.lease?.fencingNumber ?? 0,
      tables.storeEpoch,
    ),
    attempt: tick.createAttempt(),
  });
}

function createWrite(row: DutyRow, lease: Lease): LeaseCommand {
  row.pendingOperation = "write";
  row.attempted = lease;
  return {
    type: "write-lease",
    duty: row.duty,
    lease,
    expectedVersion: row.version,
  };
}

function createRead(
  tables: LeaseTables,
  row: DutyRow,
  tick: LeaseTick,
): LeaseCommand | undefined {
  if (row.hasRead && tick.nowMs < row.nextReadAtMs) return undefined;
  row.nextReadAtMs = tick.nowMs + Math.min(readPeriodMs, tables.leaseMs / 2);
  row.pendingOperation = "read";
  return { type: "read-lease", duty: row.duty };
}
