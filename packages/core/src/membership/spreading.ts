import { mix32 } from "../hashing/mod.ts";
import { assertInvariant } from "../results/mod.ts";
import { askUnknown } from "./asking.ts";
import { canSpend, framingBytes, spendBudget, updateBudget } from "./budget.ts";
import {
  type Digest,
  digestOverheadBytes,
  encodeDigest,
  getTag,
  loadBytes,
  recordBytes,
} from "./codec.ts";
import { isLeaving } from "./merge.ts";
import { publishOwnLoad } from "./own_record.ts";
import type { MemberIdentity } from "./record.ts";
import type { Urgency } from "./schemes.ts";
import {
  createDigest,
  createRecord,
  type SendDigest,
  type Spreader,
} from "./spreader.ts";
import type { MemberRow, MembershipTables } from "./tables.ts";

/** Largest digest, so that a datagram is not fragmented. */
export const maxDigestBytes = 1200;

/** Time between two ticks, and so between two rounds of urgent records. */
export const tickPeriodMs = 200;

/** Leaving members whose record one refresh repeats. */
const leavingPerRefresh = 3;

/** Hops up to which loads take the usual period. */
const promptHops = 2;

/** Members that hear a record per member that sends it, as a logarithm. */
const hopBase = 4;

/** Sends what is due; called every `tickPeriodMs`. */
export function spreadDigests(
  spreader: Spreader,
  nowMs: number,
): SendDigest[] {
  const { tables } = spreader;
  updateBudget(spreader.budget, { tables, nowMs });
  publishOwnLoad(spreader, nowMs);
  const commands = askUnknown(spreader, nowMs);
  if (tables.members.size === 1) return commands;
  const urgent = selectDue(spreader, "state");
  if (urgent.length > 0 || spreader.versionRounds > 0) {
    commands.push(...sendRound(spreader, urgent, { purpose: "state", nowMs }));
  }
  if (nowMs < spreader.nextLoadAtMs) return commands;
  spreader.nextLoadAtMs = nowMs + getLoadPeriodMs(tables);
  const loads = selectDue(spreader, "load");
  if (loads.length > 0) {
    commands.push(...sendRound(spreader, loads, { purpose: "load", nowMs }));
  }
  if (nowMs < spreader.nextRefreshAtMs) return commands;
  spreader.nextRefreshAtMs = nowMs + tables.limits.digestPeriodMs;
  commands.push(...sendRefresh(spreader, nowMs));
  return commands;
}

/**
 * Gets the time between two rounds of loads. Where a record takes more hops,
 * each of them is shorter.
 */
export function getLoadPeriodMs(tables: MembershipTables): number {
  const hops = Math.log(tables.members.size) / Math.log(hopBase);
  const periodMs = tables.limits.digestPeriodMs;
  return Math.max(tickPeriodMs, periodMs * Math.min(1, promptHops / hops));
}

/**
 * Repeats whole records for those whom they did not reach: one member in turn,
 * and some that leave, which matters most after a cut.
 */
function sendRefresh(spreader: Spreader, nowMs: number): SendDigest[] {
  const { tables } = spreader;
  const members = new Set(selectLeaving(spreader));
  const next = takeNextRefresh(spreader);
  if (next !== undefined) members.add(next);
  if (members.size === 0) return [];
  const bytes = encodeDigest({
    ...createDigest(spreader),
    records: [...members].map((member) => createRecord(member, nowMs)),
  });
  const [peer] = spreader.scheme.choosePeers(tables, "refresh");
  if (peer === undefined || !canSpend(spreader.budget, bytes.length)) return [];
  spendBudget(spreader.budget, { tables, sizeBytes: bytes.length });
  return [{ type: "send-digest", peer, bytes }];
}

function takeNextRefresh(spreader: Spreader): MemberRow | undefined {
  if (spreader.refreshQueue.length === 0) {
    spreader.refreshQueue = listForRefresh(spreader.tables);
  }
  const member = spreader.refreshQueue.pop();
  return member === undefined || member.record.epoch === 0 ? undefined : member;
}

/** Selects some of the members that leave, others at each call. */
function selectLeaving(spreader: Spreader): MemberRow[] {
  const leaving = [...spreader.tables.members.rows()].filter(isLeaving);
  if (leaving.length <= leavingPerRefresh) return leaving;
  spreader.refreshOffset = (spreader.refreshOffset + leavingPerRefresh) %
    leaving.length;
  return [...leaving, ...leaving].slice(
    spreader.refreshOffset,
    spreader.refreshOffset + leavingPerRefresh,
  );
}

/** Each process has its own order, so that a record is repeated evenly. */
function listForRefresh(tables: MembershipTables): MemberRow[] {
  const own = tables.self.record.wireId;
  const getOrder = (member: MemberRow) => mix32(member.record.wireId, own);
  return [...tables.members.rows()].sort((left, right) =>
    getOrder(left) - getOrder(right)
  );
}

/** Own records first, then the youngest. */
function selectDue(spreader: Spreader, urgency: Urgency): MemberRow[] {
  const { pending, self } = spreader.tables;
  const getRank = (member: MemberRow) => member === self ? 0 : 1;
  return [...pending]
    .filter((member) => member.isUrgent === (urgency === "state"))
    .sort((left, right) =>
      getRank(left) - getRank(right) || right.madeAtMs - left.madeAtMs
    );
}

function sendRound(
  spreader: Spreader,
  due: MemberRow[],
  options: { purpose: Urgency; nowMs: number },
): SendDigest[] {
  const { tables } = spreader;
  const peers = spreader.scheme.choosePeers(tables, options.purpose);
  if (peers.length === 0 || spreader.budget.allowanceBytes < 0) return [];
  const commands: SendDigest[] = [];
  let rest = due;
  if (options.purpose === "state") completeVersionRound(spreader);
  do {
    const members = selectFitting(spreader, rest, peers.length);
    if (members.length === 0 && rest.length > 0) break;
    rest = rest.slice(members.length);
    const bytes = encodeDigest(fillDigest(spreader, members, options.nowMs));
    assertInvariant(
      bytes.length <= maxDigestBytes || members.length === 1,
      "digest-fits-datagram",
      () => `${bytes.length} bytes`,
    );
    for (const peer of peers) {
      spendBudget(spreader.budget, { tables, sizeBytes: bytes.length });
      commands.push({ type: "send-digest", peer, bytes });
    }
    for (const member of members) completeRound(spreader, member);
  } while (rest.length > 0);
  return commands;
}

function completeVersionRound(spreader: Spreader): void {
  spreader.versionRounds = Math.max(0, spreader.versionRounds - 1);
}

/** Takes as many records as one datagram and the budget hold. */
function selectFitting(
  spreader: Spreader,
  due: MemberRow[],
  peers: number,
): MemberRow[] {
  const { budget, tables } = spreader;
  const affordable = budget.allowanceBytes / peers - framingBytes;
  const members: MemberRow[] = [];
  let sizeBytes = digestOverheadBytes;
  for (const member of due) {
    sizeBytes += getEntryBytes(member);
    if (sizeBytes > maxDigestBytes && members.length > 0) break;
    const isOwnState = member.isUrgent && member === tables.self;
    if (sizeBytes > affordable && !isOwnState) break;
    members.push(member);
  }
  return members;
}

function getEntryBytes(member: MemberRow): number {
  if (!member.isUrgent) return loadBytes;
  if (!canDescribe(member)) return recordBytes;
  return recordBytes + getIdentityBytes(member.identity);
}

const identityBytes = new WeakMap<MemberIdentity, number>();

/** JSON, with its field names, is longer than what is sent. */
function getIdentityBytes(identity: MemberIdentity): number {
  const known = identityBytes.get(identity);
  if (known !== undefined) return known;
  const bytes = JSON.stringify(identity).length;
  identityBytes.set(identity, bytes);
  return bytes;
}

function fillDigest(
  spreader: Spreader,
  members: MemberRow[],
  nowMs: number,
): Digest {
  const digest = createDigest(spreader);
  for (const member of members) {
    if (member.isUrgent) {
      digest.records.push(createRecord(member, nowMs));
      if (canDescribe(member)) digest.identities.push(member.identity);
    } else digest.loads.push(createLoad(member, nowMs));
  }
  return digest;
}

/** An identity goes with a record only if it is the one the record means. */
function canDescribe(member: MemberRow): boolean {
  return member.describeRounds > 0 &&
    member.identitySequence === member.record.identitySequence;
}

function createLoad(
  member: MemberRow,
  nowMs: number,
): Digest["loads"][number] {
  return {
    wireId: member.record.wireId,
    epochTag: getTag(member.record.epoch),
    sequenceTag: getTag(member.record.sequence),
    loadTokens: member.record.loadTokens,
    ageMs: nowMs - member.madeAtMs,
  };
}

function completeRound(spreader: Spreader, member: MemberRow): void {
  member.roundsLeft -= 1;
  member.describeRounds = Math.max(0, member.describeRounds - 1);
  if (member.roundsLeft > 0) return;
  member.isUrgent = false;
  member.describeRounds = 0;
  spreader.tables.pending.delete(member);
}
