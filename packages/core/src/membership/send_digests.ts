import { mix32 } from "../hashing/mod.ts";
import { assertInvariant } from "../results/mod.ts";
import { requestUnknownRecords } from "./request_records.ts";
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
  type GossipState,
  type SendDigest,
} from "./gossip_state.ts";
import type { MemberRow, MembershipTables } from "./tables.ts";

/** Size limit of a digest, so that its datagram is not fragmented. */
export const maxDigestBytes = 1200;

/** Time between two ticks, and thus between rounds of urgent records. */
export const tickPeriodMs = 200;

/** Number of leaving members whose records one refresh repeats. */
const leavingPerRefresh = 3;

/** Number of hops above which the load period is shortened. */
const maxFullPeriodHops = 2;

/** Factor by which the members that hold a record grow with each hop. */
const hopGrowth = 4;

/** Creates the digests that are due; called every `tickPeriodMs`. */
export function sendDueDigests(
  gossip: GossipState,
  nowMs: number,
): SendDigest[] {
  const { tables } = gossip;
  updateBudget(gossip.budget, { tables, nowMs });
  publishOwnLoad(gossip, nowMs);
  const commands = requestUnknownRecords(gossip, nowMs);
  if (tables.members.size === 1) return commands;
  const urgent = selectDue(gossip, "state");
  if (urgent.length > 0 || gossip.versionRounds > 0) {
    commands.push(...sendRound(gossip, urgent, { purpose: "state", nowMs }));
  }
  if (nowMs < gossip.nextLoadAtMs) return commands;
  gossip.nextLoadAtMs = nowMs + getLoadPeriodMs(tables);
  const loads = selectDue(gossip, "load");
  if (loads.length > 0) {
    commands.push(...sendRound(gossip, loads, { purpose: "load", nowMs }));
  }
  if (nowMs < gossip.nextRefreshAtMs) return commands;
  gossip.nextRefreshAtMs = nowMs + tables.limits.digestPeriodMs;
  commands.push(...sendRefresh(gossip, nowMs));
  return commands;
}

/**
 * Gets the time between two load rounds. It is shorter in fleets in which a
 * record takes more hops to reach all members.
 */
export function getLoadPeriodMs(tables: MembershipTables): number {
  const hops = Math.log(tables.members.size) / Math.log(hopGrowth);
  const periodMs = tables.limits.digestPeriodMs;
  return Math.max(
    tickPeriodMs,
    periodMs * Math.min(1, maxFullPeriodHops / hops),
  );
}

/**
 * Repeats full records for members that have missed them: the next member in
 * turn and some leaving members. The latter matter most after a network
 * partition.
 */
function sendRefresh(gossip: GossipState, nowMs: number): SendDigest[] {
  const { tables } = gossip;
  const members = new Set(selectLeaving(gossip));
  const next = takeNextRefresh(gossip);
  if (next !== undefined) members.add(next);
  if (members.size === 0) return [];
  const bytes = encodeDigest({
    ...createDigest(gossip),
    records: [...members].map((member) => createRecord(member, nowMs)),
  });
  const [peer] = gossip.scheme.choosePeers(tables, "refresh");
  if (peer === undefined || !canSpend(gossip.budget, bytes.length)) return [];
  spendBudget(gossip.budget, { tables, sizeBytes: bytes.length });
  return [{ type: "send-digest", peer, bytes }];
}

function takeNextRefresh(gossip: GossipState): MemberRow | undefined {
  if (gossip.refreshQueue.length === 0) {
    gossip.refreshQueue = listForRefresh(gossip.tables);
  }
  const member = gossip.refreshQueue.pop();
  return member === undefined || member.record.epoch === 0 ? undefined : member;
}

/** Selects the next few leaving members in turn. */
function selectLeaving(gossip: GossipState): MemberRow[] {
  const leaving = [...gossip.tables.members.rows()].filter(isLeaving);
  if (leaving.length <= leavingPerRefresh) return leaving;
  gossip.refreshOffset = (gossip.refreshOffset + leavingPerRefresh) %
    leaving.length;
  return [...leaving, ...leaving].slice(
    gossip.refreshOffset,
    gossip.refreshOffset + leavingPerRefresh,
  );
}

/**
 * Lists all members in an order that differs between processes, so that the
 * repetitions of a record are evenly distributed over time.
 */
function listForRefresh(tables: MembershipTables): MemberRow[] {
  const own = tables.self.record.wireId;
  const getOrder = (member: MemberRow) => mix32(member.record.wireId, own);
  return [...tables.members.rows()].sort((left, right) =>
    getOrder(left) - getOrder(right)
  );
}

/** Selects pending records: the process's own first, then the newest. */
function selectDue(gossip: GossipState, urgency: Urgency): MemberRow[] {
  const { pending, self } = gossip.tables;
  const getRank = (member: MemberRow) => member === self ? 0 : 1;
  return [...pending]
    .filter((member) => member.isUrgent === (urgency === "state"))
    .sort((left, right) =>
      getRank(left) - getRank(right) || right.createdAtMs - left.createdAtMs
    );
}

function sendRound(
  gossip: GossipState,
  due: MemberRow[],
  options: { purpose: Urgency; nowMs: number },
): SendDigest[] {
  const { tables } = gossip;
  const peers = gossip.scheme.choosePeers(tables, options.purpose);
  if (peers.length === 0 || gossip.budget.allowanceBytes < 0) return [];
  const commands: SendDigest[] = [];
  let rest = due;
  if (options.purpose === "state") completeVersionRound(gossip);
  do {
    const members = selectFitting(gossip, rest, peers.length);
    if (members.length === 0 && rest.length > 0) break;
    rest = rest.slice(members.length);
    const bytes = encodeDigest(
      createRoundDigest(gossip, members, options.nowMs),
    );
    assertInvariant(
      bytes.length <= maxDigestBytes || members.length === 1,
      "digest-fits-datagram",
      () => `${bytes.length} bytes`,
    );
    for (const peer of peers) {
      spendBudget(gossip.budget, { tables, sizeBytes: bytes.length });
      commands.push({ type: "send-digest", peer, bytes });
    }
    for (const member of members) completeRound(gossip, member);
  } while (rest.length > 0);
  return commands;
}

function completeVersionRound(gossip: GossipState): void {
  gossip.versionRounds = Math.max(0, gossip.versionRounds - 1);
}

/** Selects as many records as fit into one datagram and the byte budget. */
function selectFitting(
  gossip: GossipState,
  due: MemberRow[],
  peers: number,
): MemberRow[] {
  const { budget, tables } = gossip;
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
  if (!canSendIdentity(member)) return recordBytes;
  return recordBytes + getIdentityBytes(member.identity);
}

const identityBytes = new WeakMap<MemberIdentity, number>();

/** Gets an upper bound: JSON with field names is longer than the encoding. */
function getIdentityBytes(identity: MemberIdentity): number {
  const known = identityBytes.get(identity);
  if (known !== undefined) return known;
  const bytes = JSON.stringify(identity).length;
  identityBytes.set(identity, bytes);
  return bytes;
}

function createRoundDigest(
  gossip: GossipState,
  members: MemberRow[],
  nowMs: number,
): Digest {
  const digest = createDigest(gossip);
  for (const member of members) {
    if (member.isUrgent) {
      digest.records.push(createRecord(member, nowMs));
      if (canSendIdentity(member)) digest.identities.push(member.identity);
    } else digest.loads.push(createLoad(member, nowMs));
  }
  return digest;
}

/** An identity is sent with a record only if it matches the record. */
function canSendIdentity(member: MemberRow): boolean {
  return member.identityRounds > 0 &&
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
    ageMs: nowMs - member.createdAtMs,
  };
}

function completeRound(gossip: GossipState, member: MemberRow): void {
  member.roundsLeft -= 1;
  member.identityRounds = Math.max(0, member.identityRounds - 1);
  if (member.roundsLeft > 0) return;
  member.isUrgent = false;
  member.identityRounds = 0;
  gossip.tables.pending.delete(member);
}
