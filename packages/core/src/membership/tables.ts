import { type RunnerRow, Table } from "../tables/mod.ts";
import {
  type DigestRecord,
  getWireId,
  type MemberIdentity,
  type WireId,
} from "./record.ts";

/** Rounds that send a new identity; members that miss it request it. */
export const newIdentityRounds = 2;

/** State that one process holds about one member. */
export type MemberRow = {
  identity: MemberIdentity;
  /** Sequence at which the held identity was announced. */
  identitySequence: number;
  record: Omit<DigestRecord, "ageMs">;
  /** Time at which the member created the record, by the local clock. */
  createdAtMs: number;
  /** Remaining rounds in which the record is sent. */
  roundsLeft: number;
  /** Whether the record is sent at the next tick, not the next load round. */
  isUrgent: boolean;
  /** Remaining rounds in which the identity is sent with the record. */
  identityRounds: number;
  /** Epoch marked as leaving by a record or by the host list. */
  leavingEpoch: number | undefined;
  /** Whether the last host list that was read contains the member. */
  isListed: boolean;
  /** State in the last host list, to detect changes. */
  listedState: "live" | "leaving" | undefined;
  /** Earliest time of the next request for the full record. */
  nextRequestAtMs: number;
};

/** Flaps of a runner, as observed by one process. */
export type FlapRow = {
  /** Consecutive flaps. */
  flaps: number;
  lastFlapAtMs: number;
  /**
   * End of the hold-down. Before it, the runner gets no new work while other
   * runners of its pool are available.
   */
  heldUntilMs: number;
};

/** Limits for membership; the `membership` section of the settings. */
export type MembershipLimits = {
  digestPeriodMs: number;
  /** Limit for digests sent and received together. */
  budgetBytesPerSecond: number;
  staleAfterMs: number;
  holdDownMs: number;
  maximumHoldDownMs: number;
};

/** Limits that apply until a configuration has been loaded. */
export const defaultMembershipLimits: MembershipLimits = {
  digestPeriodMs: 1000,
  budgetBytesPerSecond: 11_000,
  staleAfterMs: 10_000,
  holdDownMs: 1000,
  maximumHoldDownMs: 4000,
};

/** Membership state of one process. */
export type MembershipTables = {
  self: MemberRow;
  members: Table<WireId, MemberRow>;
  runners: Table<string, RunnerRow>;
  flaps: Table<string, FlapRow>;
  /** Members whose record is still to be sent. */
  pending: Set<MemberRow>;
  /**
   * Members whose full record is to be requested, because their epoch is not
   * known or the held identity is outdated.
   */
  unknown: Set<MemberRow>;
  limits: MembershipLimits;
};

/** Creates the row of a member whose record is not yet known. */
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
    createdAtMs: 0,
    roundsLeft: 0,
    isUrgent: false,
    identityRounds: 0,
    leavingEpoch: undefined,
    isListed: false,
    listedState: undefined,
    nextRequestAtMs: 0,
  };
}

/** Initial content of the membership tables. */
export type TablesOptions = {
  identity: MemberIdentity;
  epoch: number;
  capacity: number;
  limits: MembershipLimits;
  nowMs: number;
};

/** Creates membership tables that contain only this process. */
export function createMembershipTables(
  options: TablesOptions,
): MembershipTables {
  const self = createMember(options.identity);
  self.record.epoch = options.epoch;
  self.record.capacity = options.capacity;
  self.createdAtMs = options.nowMs;
  self.identityRounds = newIdentityRounds;
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
