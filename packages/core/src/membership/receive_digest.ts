import { canSpend, spendBudget } from "./budget.ts";
import { type Digest, encodeDigest } from "./codec.ts";
import {
  mergeIdentity,
  mergeLoad,
  mergeRecord,
  mergeRecordWithIdentity,
  type MergeResult,
} from "./merge.ts";
import { getWireId } from "./record.ts";
import { getOwnRecord } from "./own_record.ts";
import {
  createDigest,
  type GossipState,
  type SendDigest,
  setPending,
} from "./gossip_state.ts";
import type { MemberRow } from "./tables.ts";

/**
 * Merges a digest and queues the records that changed for relaying.
 *
 * @returns the digest that answers the sender's request for this process's
 * record, or nothing when there is no such request or the budget is spent.
 */
export function receiveDigest(
  gossip: GossipState,
  digest: Digest,
  nowMs: number,
): SendDigest[] {
  const { tables } = gossip;
  const identities = new Map(
    digest.identities.map((identity) => [getWireId(identity), identity]),
  );
  for (const record of digest.records) {
    const identity = identities.get(record.wireId);
    identities.delete(record.wireId);
    const result = identity === undefined
      ? mergeRecord(tables, record, nowMs)
      : mergeRecordWithIdentity(tables, { identity, record }, nowMs);
    relayRecord(gossip, record.wireId, result);
  }
  for (const identity of identities.values()) mergeIdentity(tables, identity);
  for (const load of digest.loads) {
    relayRecord(gossip, load.wireId, mergeLoad(tables, load, nowMs));
  }
  if (!digest.wanted.includes(tables.self.record.wireId)) return [];
  const sender = tables.members.get(digest.sender);
  return sender === undefined ? [] : answerRequest(gossip, sender, nowMs);
}

/** Queues a record for relaying to peers if merging it changed anything. */
export function relayRecord(
  gossip: GossipState,
  wireId: number,
  result: MergeResult,
): void {
  if (result === "unchanged") return;
  const member = gossip.tables.members.get(wireId);
  if (member === undefined) return;
  setPending(gossip, member, { origin: "received", urgency: result });
}

function answerRequest(
  gossip: GossipState,
  sender: MemberRow,
  nowMs: number,
): SendDigest[] {
  const { budget, tables } = gossip;
  const bytes = encodeDigest({
    ...createDigest(gossip),
    records: [getOwnRecord(gossip, nowMs)],
    identities: [tables.self.identity],
  });
  if (!canSpend(budget, bytes.length)) return [];
  spendBudget(budget, { tables, sizeBytes: bytes.length });
  return [{ type: "send-digest", peer: sender, bytes }];
}
