import { type ByteBudget, createByteBudget } from "./budget.ts";
import type { Digest } from "./codec.ts";
import { updateRunner } from "./merge.ts";
import type { DigestRecord } from "./record.ts";
import type { RecordOrigin, SpreadingScheme, Urgency } from "./schemes.ts";
import type { MemberRow, MembershipTables } from "./tables.ts";

/** Asks the shell to send a datagram. */
export type SendDigest = {
  type: "send-digest";
  peer: MemberRow;
  bytes: Uint8Array;
};

/** State of the spreading of one process. */
export type Spreader = {
  tables: MembershipTables;
  scheme: SpreadingScheme;
  budget: ByteBudget;
  /** Highest configuration version of this process. */
  configurationVersion: number;
  /** Rounds in which the version alone is worth a digest. */
  versionRounds: number;
  nextLoadAtMs: number;
  nextOwnAtMs: number;
  nextRefreshAtMs: number;
  /** Load that peers were last told, and when. */
  toldTokens: number;
  toldAtMs: number;
  loadTokens: number;
  /** Members whose whole record is told again, one a period. */
  refreshQueue: MemberRow[];
  /** Place among the leaving members from which the next are repeated. */
  refreshOffset: number;
};

/** How spreading starts. */
export type SpreaderOptions = {
  tables: MembershipTables;
  scheme: SpreadingScheme;
  nowMs: number;
  /** Delay of the first round, so that processes do not act in step. */
  phaseMs: number;
};

/** Creates the state of a process that makes itself known at once. */
export function createSpreader(options: SpreaderOptions): Spreader {
  const { nowMs, phaseMs, scheme, tables } = options;
  const spreader: Spreader = {
    tables,
    scheme,
    budget: createByteBudget(tables, nowMs),
    configurationVersion: 0,
    versionRounds: 0,
    nextLoadAtMs: nowMs + phaseMs,
    nextOwnAtMs: nowMs + phaseMs,
    nextRefreshAtMs: nowMs + phaseMs,
    toldTokens: 0,
    toldAtMs: nowMs,
    loadTokens: 0,
    refreshQueue: [],
    refreshOffset: 0,
  };
  updateRunner(tables, tables.self);
  setPending(spreader, tables.self, { origin: "own", urgency: "state" });
  return spreader;
}

/** Has a record passed on, at the next tick or with the next period. */
export function setPending(
  spreader: Spreader,
  member: MemberRow,
  options: { origin: RecordOrigin; urgency: Urgency },
): void {
  const { scheme, tables } = spreader;
  const rounds = scheme.getRounds(tables, options.origin, options.urgency);
  if (rounds === 0) return;
  if (options.urgency === "state") member.isUrgent = true;
  member.roundsLeft = Math.max(rounds, member.roundsLeft);
  tables.pending.add(member);
}

/** Creates a digest that tells the configuration version alone. */
export function createDigest(spreader: Spreader): Digest {
  return {
    sender: spreader.tables.self.record.wireId,
    configurationVersion: spreader.configurationVersion,
    records: [],
    loads: [],
    wanted: [],
    identities: [],
  };
}

/** Creates the record of a member as it is passed on now. */
export function createRecord(member: MemberRow, nowMs: number): DigestRecord {
  return { ...member.record, ageMs: Math.max(0, nowMs - member.madeAtMs) };
}
