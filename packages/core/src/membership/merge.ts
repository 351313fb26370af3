import type { RunnerRow } from "../tables/mod.ts";
import { getNearest, getTag, type LoadRecord } from "./codec.ts";
import { recordFlap } from "./damping.ts";
import {
  type DigestRecord,
  getWireId,
  isNewerRecord,
  type MemberIdentity,
} from "./record.ts";
import {
  createMember,
  describeRounds,
  type MemberRow,
  type MembershipTables,
} from "./tables.ts";

/** Whether a merged record is to be passed on, and how soon. */
export type MergeResult = "known" | "load" | "state";

/**
 * Merges an identity from the host list or a member. What a member says of its
 * own runner counts more than the list, once its epoch is known.
 */
export function mergeIdentity(
  tables: MembershipTables,
  identity: MemberIdentity,
): MemberRow {
  const wireId = getWireId(identity);
  const known = tables.members.get(wireId);
  if (known !== undefined) {
    if (known === tables.self) return known;
    const isDescribed = known.record.epoch > 0;
    if (isDescribed && !tables.unknown.has(known)) return known;
    known.identity = isDescribed
      ? keepRunnerState(known.identity, identity)
      : identity;
    updateRunner(tables, known);
    return known;
  }
  const member = createMember(identity);
  tables.members.set(wireId, member);
  tables.unknown.add(member);
  updateRunner(tables, member);
  return member;
}

/**
 * Merges a whole record: a higher epoch wins, inside an epoch a higher
 * sequence; leaving stays until a higher epoch.
 */
export function mergeRecord(
  tables: MembershipTables,
  record: DigestRecord,
  nowMs: number,
): MergeResult {
  const member = tables.members.get(record.wireId);
  if (member === undefined) return "known";
  if (member === tables.self) return mergeSelf(tables, record);
  if (record.epoch < member.record.epoch) return "known";
  const isNewEpoch = record.epoch > member.record.epoch;
  const startsLeaving = record.isLeaving &&
    member.leavingEpoch !== record.epoch;
  const isNewer = isNewerRecord(record, member.record);
  if (isNewer) applyRecord(tables, member, { record, nowMs });
  if (record.identitySequence > member.identitySequence) {
    tables.unknown.add(member);
  }
  if (startsLeaving) setLeaving(tables, member, record.epoch);
  updateRunner(tables, member);
  if (isNewEpoch || startsLeaving) return "state";
  return isNewer ? "load" : "known";
}

/** A process learns from others only that its own epoch is to leave. */
function mergeSelf(
  tables: MembershipTables,
  record: DigestRecord,
): MergeResult {
  const { self } = tables;
  if (!record.isLeaving || record.epoch !== self.record.epoch) return "known";
  if (isLeaving(self)) return "known";
  setLeaving(tables, self, record.epoch);
  return "state";
}

/** The list knows a new address, but not what the runner serves now. */
function keepRunnerState(
  own: MemberIdentity,
  listed: MemberIdentity,
): MemberIdentity {
  if (own.runner === undefined || listed.runner === undefined) return listed;
  const { engine, pools } = own.runner;
  const runner = { ...listed.runner, pools };
  return {
    ...listed,
    runner: engine === undefined ? runner : { ...runner, engine },
  };
}

/**
 * Merges a record with the identity that its member told along with it.
 *
 * @returns as `mergeRecord`; a changed identity is to be passed on like state.
 */
export function mergeDescribed(
  tables: MembershipTables,
  described: { identity: MemberIdentity; record: DigestRecord },
  nowMs: number,
): MergeResult {
  const { identity, record } = described;
  const member = mergeIdentity(tables, identity);
  if (member === tables.self) return mergeSelf(tables, record);
  const isChanged = record.epoch > member.record.epoch ||
    (record.epoch === member.record.epoch &&
      record.identitySequence > member.identitySequence);
  const result = mergeRecord(tables, record, nowMs);
  if (!isChanged) return result;
  member.identity = identity;
  member.identitySequence = record.identitySequence;
  member.describeRounds = describeRounds;
  tables.unknown.delete(member);
  updateRunner(tables, member);
  return "state";
}

/** Merges the frequent part of a record. */
export function mergeLoad(
  tables: MembershipTables,
  load: LoadRecord,
  nowMs: number,
): MergeResult {
  const member = tables.members.get(load.wireId);
  if (member === undefined || member === tables.self) return "known";
  if (getTag(member.record.epoch) !== load.epochTag) {
    tables.unknown.add(member);
    return "known";
  }
  const sequence = getNearest(load.sequenceTag, member.record.sequence);
  if (sequence <= member.record.sequence) return "known";
  member.record.sequence = sequence;
  member.record.loadTokens = load.loadTokens;
  member.madeAtMs = nowMs - load.ageMs;
  updateRunner(tables, member);
  return "load";
}

/** Marks an epoch of a member as leaving, for good. */
export function setLeaving(
  tables: MembershipTables,
  member: MemberRow,
  epoch: number,
): void {
  member.leavingEpoch = epoch;
  member.record.isLeaving = true;
  updateRunner(tables, member);
}

/** Says whether a member is known to leave. */
export function isLeaving(member: MemberRow): boolean {
  return member.leavingEpoch !== undefined &&
    member.leavingEpoch >= member.record.epoch;
}

function applyRecord(
  tables: MembershipTables,
  member: MemberRow,
  options: { record: DigestRecord; nowMs: number },
): void {
  const { nowMs, record } = options;
  const { epoch } = member.record;
  const hadEpoch = epoch !== 0;
  // A host list that said "leaving" before any epoch was known meant the
  // first one that becomes known.
  if (!hadEpoch && member.leavingEpoch === 0) {
    member.leavingEpoch = record.epoch;
  }
  if (record.epoch > epoch) {
    member.describeRounds = describeRounds;
    member.identitySequence = 0;
    if (hadEpoch) recordFlap(tables, member, nowMs);
  }
  const { ageMs, ...rest } = record;
  member.record = rest;
  member.record.isLeaving = isLeaving(member);
  member.madeAtMs = nowMs - ageMs;
  tables.unknown.delete(member);
}

/** Brings the row that routing reads up to date with its member. */
export function updateRunner(
  tables: MembershipTables,
  member: MemberRow,
): void {
  const { identity, record } = member;
  if (identity.runner === undefined) return;
  const { id, kind, pools, dataAddress } = identity.runner;
  const state = getState(member);
  const row = tables.runners.get(id);
  if (row === undefined) {
    tables.runners.set(id, createRunner(member, identity.runner));
    return;
  }
  row.host = identity.host;
  row.failureDomain = identity.failureDomain;
  row.region = identity.region;
  row.dataAddress = dataAddress;
  row.controlAddress = identity.controlAddress;
  row.kind = kind;
  row.pools = pools;
  row.capacity = record.capacity;
  row.loadTokens = record.loadTokens;
  row.state = state;
  row.epoch = record.epoch;
  row.sequence = record.sequence;
  row.configurationVersion = record.configurationVersion;
  row.observedAtMs = member.madeAtMs;
}

function createRunner(
  member: MemberRow,
  runner: NonNullable<MemberIdentity["runner"]>,
): RunnerRow {
  const { identity, record } = member;
  return {
    id: runner.id,
    host: identity.host,
    failureDomain: identity.failureDomain,
    region: identity.region,
    dataAddress: runner.dataAddress,
    controlAddress: identity.controlAddress,
    kind: runner.kind,
    pools: runner.pools,
    capacity: record.capacity,
    loadTokens: record.loadTokens,
    state: getState(member),
    epoch: record.epoch,
    sequence: record.sequence,
    configurationVersion: record.configurationVersion,
    observedAtMs: member.madeAtMs,
  };
}

function getState(member: MemberRow): RunnerRow["state"] {
  if (isLeaving(member)) return "leaving";
  return member.record.epoch === 0 ? "joining" : "active";
}
