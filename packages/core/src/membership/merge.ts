import type { RunnerRow } from "../tables/mod.ts";
import { getTag, type LoadRecord, resolveSequence } from "./codec.ts";
import { recordFlap } from "./damping.ts";
import {
  type DigestRecord,
  getWireId,
  isNewerRecord,
  type MemberIdentity,
} from "./record.ts";
import {
  createMember,
  type MemberRow,
  type MembershipTables,
  newIdentityRounds,
} from "./tables.ts";

/**
 * What a merge changed, which determines how the record is relayed: `state`
 * with the next tick, `load` with the next load round, `unchanged` not at all.
 */
export type MergeResult = "unchanged" | "load" | "state";

/**
 * Merges an identity from the host list or a digest. Once the epoch of a member
 * is known, the runner state that the member itself announced takes precedence
 * over the listed one.
 */
export function mergeIdentity(
  tables: MembershipTables,
  identity: MemberIdentity,
): MemberRow {
  const wireId = getWireId(identity);
  const known = tables.members.get(wireId);
  if (known !== undefined) {
    if (known === tables.self) return known;
    const hasEpoch = known.record.epoch > 0;
    if (hasEpoch && !tables.unknown.has(known)) return known;
    known.identity = hasEpoch
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
 * Merges a full record: a higher epoch wins, and within an epoch a higher
 * sequence. A leaving epoch stays leaving until a higher one replaces it.
 */
export function mergeRecord(
  tables: MembershipTables,
  record: DigestRecord,
  nowMs: number,
): MergeResult {
  const member = tables.members.get(record.wireId);
  if (member === undefined) return "unchanged";
  if (member === tables.self) return mergeSelf(tables, record);
  if (record.epoch < member.record.epoch) return "unchanged";
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
  return isNewer ? "load" : "unchanged";
}

/**
 * Merges a peer's record of this process. It is ignored, except that it can
 * mark the current epoch as leaving.
 */
function mergeSelf(
  tables: MembershipTables,
  record: DigestRecord,
): MergeResult {
  const { self } = tables;
  if (!record.isLeaving || record.epoch !== self.record.epoch) {
    return "unchanged";
  }
  if (isLeaving(self)) return "unchanged";
  setLeaving(tables, self, record.epoch);
  return "state";
}

/**
 * Applies a listed identity but keeps the engine and pools that the member
 * announced: the list can have a new address, but not the current pools.
 */
function keepRunnerState(
  announced: MemberIdentity,
  listed: MemberIdentity,
): MemberIdentity {
  if (announced.runner === undefined || listed.runner === undefined) {
    return listed;
  }
  const { engine, pools } = announced.runner;
  const runner = { ...listed.runner, pools };
  return {
    ...listed,
    runner: engine === undefined ? runner : { ...runner, engine },
  };
}

/**
 * Merges a record and the identity that its member sent with it.
 *
 * @returns the result of `mergeRecord`, or `state` when the identity changed.
 */
export function mergeRecordWithIdentity(
  tables: MembershipTables,
  update: { identity: MemberIdentity; record: DigestRecord },
  nowMs: number,
): MergeResult {
  const { identity, record } = update;
  const member = mergeIdentity(tables, identity);
  if (member === tables.self) return mergeSelf(tables, record);
  const isChanged = record.epoch > member.record.epoch ||
    (record.epoch === member.record.epoch &&
      record.identitySequence > member.identitySequence);
  const result = mergeRecord(tables, record, nowMs);
  if (!isChanged) return result;
  member.identity = identity;
  member.identitySequence = record.identitySequence;
  member.identityRounds = newIdentityRounds;
  tables.unknown.delete(member);
  updateRunner(tables, member);
  return "state";
}

/** Merges a load record. */
export function mergeLoad(
  tables: MembershipTables,
  load: LoadRecord,
  nowMs: number,
): MergeResult {
  const member = tables.members.get(load.wireId);
  if (member === undefined || member === tables.self) return "unchanged";
  if (getTag(member.record.epoch) !== load.epochTag) {
    tables.unknown.add(member);
    return "unchanged";
  }
  const sequence = resolveSequence(load.sequenceTag, member.record.sequence);
  if (sequence <= member.record.sequence) return "unchanged";
  member.record.sequence = sequence;
  member.record.loadTokens = load.loadTokens;
  member.createdAtMs = nowMs - load.ageMs;
  updateRunner(tables, member);
  return "load";
}

/** Marks an epoch of a member as leaving; this is never undone. */
export function setLeaving(
  tables: MembershipTables,
  member: MemberRow,
  epoch: number,
): void {
  member.leavingEpoch = epoch;
  member.record.isLeaving = true;
  updateRunner(tables, member);
}

/** Checks whether the current epoch of a member is marked as leaving. */
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
  // A "leaving" entry in the host list that was applied before the epoch was
  // known refers to the first epoch that becomes known.
  if (!hadEpoch && member.leavingEpoch === 0) {
    member.leavingEpoch = record.epoch;
  }
  if (record.epoch > epoch) {
    member.identityRounds = newIdentityRounds;
    member.identitySequence = 0;
    if (hadEpoch) recordFlap(tables, member, nowMs);
  }
  const { ageMs, ...rest } = record;
  member.record = rest;
  member.record.isLeaving = isLeaving(member);
  member.createdAtMs = nowMs - ageMs;
  tables.unknown.delete(member);
}

/** Updates or creates the runner row of a member, which routing reads. */
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
  row.observedAtMs = member.createdAtMs;
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
    observedAtMs: member.createdAtMs,
  };
}

function getState(member: MemberRow): RunnerRow["state"] {
  if (isLeaving(member)) return "leaving";
  return member.record.epoch === 0 ? "joining" : "active";
}
