import { type RunnerRow, Table } from "../tables/mod.ts";
import {
  type DigestRecord,
  getWireId,
  type MemberIdentity,
  type WireId,
} from "./record.ts";

/** Rounds of a new identity; who misses them asks for it. */
export const describeRounds = 2;

/** What one process knows of one member. */
export type MemberRow = {
  identity: MemberIdentity;
  /** Sequence of the identity that this process holds. */
  identitySequence: number;
  record: Omit<DigestRecord, "ageMs">;
  /** Time at which the member itself made the record, by this clock. */
  madeAtMs: number;
  /** Rounds in which the record is still to be passed on. */
  roundsLeft: number;
  /** Whether it goes out at the next tick instead of the next period. */
  isUrgent: boolean;
  /** Rounds in which the identity goes with the record. */
  describeRounds: number;
  /** Epoch that is leaving; its record says so, or the host list does. */
  leavingEpoch: number | undefined;
  /** Whether the host list of this process names the member. */
  isListed: boolean;
  /** State in the last host list, to tell a change from a repetition. */
  listedState: "live" | "leaving" | undefined;
  /** Time from which the whole record is asked for again. */
  askAtMs: number;
};

/** How often a runner came and went, as one process sees it. */
export type FlapRow = {
  flaps: number;
  lastFlapAtMs: number;
  /** No new work is sent before this time while others can take it. */
  heldUntilMs: number;
};

/** Limits of membership decisions; the `membership` section of settings. */
export type MembershipLimits = {
  digestPeriodMs: number;
  /** Digests sent and received. */
  budgetBytesPerSecond: number;
  staleAfterMs: number;
  holdDownMs: number;
  maximumHoldDownMs: number;
};

/** Limits until a configuration is in force. */
export const defaultMembershipLimits: MembershipLimits = {
  digestPeriodMs: 1000,
  budgetBytesPerSecond: 11_000,
  staleAfterMs: 10_000,
  holdDownMs: 1000,
  maximumHoldDownMs: 4000,
};

/** Everything that membership decisions read and write. */
export type MembershipTables = {
  self: MemberRow;
  members: Table<WireId, MemberRow>;
  runners: Table<string, RunnerRow>;
  flaps: Table<string, FlapRow>;
  /** Members with rounds left. */
  pending: Set<MemberRow>;
  /** Members whose epoch is not known. */
  unknown: Set<MemberRow>;
  limits: MembershipLimits;
};

/** Creates a row of a member of which only the identity is known. */
export function createMember(identity: MemberIdentity): MemberRow {
  return {
    identity,
    identitySequence: 0,
    record: {
      wireId: getWireId(identity),
      epoch: 0,
      sequence: 0,
      loadTokens: 0,
      capacity: 1,
      isLeaving: false,
      configurationVersion: 0,
      identitySequence: 0,
    },
    madeAtMs: 0,
    roundsLeft: 0,
    isUrgent: false,
    describeRounds: 0,
    leavingEpoch: undefined,
    isListed: false,
    listedState: undefined,
    askAtMs: 0,
  };
}

/** What the tables of a process start with. */
export type TablesOptions = {
  identity: MemberIdentity;
  epoch: number;
  capacity: number;
  limits: MembershipLimits;
  nowMs: number;
};

/** Creates the tables of a process that knows only itself. */
export function createMembershipTables(
  options: TablesOptions,
): MembershipTables {
  const self = createMember(options.identity);
  self.record.epoch = options.epoch;
  self.record.capacity = options.capacity;
  self.madeAtMs = options.nowMs;
  self.describeRounds = describeRounds;
  const members = Table.create<WireId, MemberRow>();
  members.set(self.record.wireId, self);
  return {
    self,
    members,
    runners: Table.create<string, RunnerRow>(),
    flaps: Table.create<string, FlapRow>(),
    pending: new Set(),
    unknown: new Set(),
    limits: options.limits,
  };
}
