import { hash32 } from "../hashing/mod.ts";
import { type DutyRow, isHeldBySelf, type LeaseTables } from "./duty_table.ts";
import type { Duty, Lease, LeaseHolder } from "./lease.ts";

/** What a lease decision asks the shell to do. */
export type LeaseCommand =
  | { type: "read-lease"; duty: Duty }
  | {
    type: "write-lease";
    duty: Duty;
    lease: Lease;
    /** Version to replace, 0 where there is no lease yet. */
    expectedVersion: number;
  }
  | { type: "ping-holder"; duty: Duty; holder: LeaseHolder };

/** A router that may hold a duty. */
export type LeaseCandidate = { name: string; epoch: number };

/** What lease decisions are told each tick. */
export type LeaseTick = {
  nowMs: number;
  /** Routers that live and do not leave, this one among them. */
  candidates: LeaseCandidate[];
  isLeaving: boolean;
  createAttempt: () => string;
};

/** Routers that watch over a duty, by rank. */
const watchersPerDuty = 3;

const readPeriodMs = 5000;

/** Time between reads while the holder is known to leave. */
const handOverReadPeriodMs = 500;

const pingPeriodMs = 3000;

/** Time that a watcher leaves to the one before it. */
const rankDelayMs = 2000;

/**
 * Decides what to read, write and ask for the sake of the duties. A lease is
 * written when its holder changes, not to keep it: whether a holder lives is
 * asked of itself, and what a dead or paused one orders is refused by its
 * fencing number.
 */
export function updateLeases(
  tables: LeaseTables,
  tick: LeaseTick,
): LeaseCommand[] {
  const commands: LeaseCommand[] = [];
  for (const row of tables.duties.rows()) {
    if (row.waitsFor !== undefined) continue;
    const command = isHeldBySelf(tables, row)
      ? updateHeld(tables, row, tick)
      : updateWatched(tables, row, tick);
    if (command !== undefined) commands.push(command);
  }
  return commands;
}

/** Ranks the routers that may hold a duty by rendezvous hashing. */
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
  const waitMs = getWaitMs(tables, row, tick) + rank * rankDelayMs;
  if (tick.nowMs - row.aliveAtMs >= waitMs) {
    return createTakeover(tables, row, tick);
  }
  const holder = row.lease?.holder;
  if (holder === undefined || tick.nowMs < row.nextPingAtMs) return undefined;
  row.nextPingAtMs = tick.nowMs + pingPeriodMs;
  row.waitsFor = "ping";
  return { type: "ping-holder", duty: row.duty, holder };
}

function isHolderListed(row: DutyRow, tick: LeaseTick): boolean {
  const holder = row.lease?.holder;
  return holder === undefined ||
    tick.candidates.some(({ name }) => name === holder.name);
}

/** Time since a sign of life after which the duty may be taken over. */
function getWaitMs(
  tables: LeaseTables,
  row: DutyRow,
  tick: LeaseTick,
): number {
  const holder = row.lease?.holder;
  if (holder === undefined) return 0;
  const known = tick.candidates.find(({ name }) => name === holder.name);
  const isReplaced = known !== undefined && known.epoch > holder.epoch;
  return isReplaced ? 0 : tables.leaseMs;
}

function createTakeover(
  tables: LeaseTables,
  row: DutyRow,
  tick: LeaseTick,
): LeaseCommand {
  return createWrite(row, {
    holder: tables.self,
    fencingNumber: (row.lease?.fencingNumber ?? 0) + 1,
    attempt: tick.createAttempt(),
  });
}

function createWrite(row: DutyRow, lease: Lease): LeaseCommand {
  row.waitsFor = "write";
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
  row.waitsFor = "read";
  return { type: "read-lease", duty: row.duty };
}
