import { canSpend, spendBudget } from "./budget.ts";
import { type Digest, encodeDigest } from "./codec.ts";
import {
  mergeDescribed,
  mergeIdentity,
  mergeLoad,
  mergeRecord,
  type MergeResult,
} from "./merge.ts";
import { getWireId } from "./record.ts";
import { getOwnRecord } from "./own_record.ts";
import {
  createDigest,
  type SendDigest,
  setPending,
  type Spreader,
} from "./spreader.ts";
import type { MemberRow } from "./tables.ts";

/**
 * Takes in a digest.
 *
 * @returns the answer to what the sender asked for.
 */
export function receiveDigest(
  spreader: Spreader,
  digest: Digest,
  nowMs: number,
): SendDigest[] {
  const { tables } = spreader;
  const identities = new Map(
    digest.identities.map((identity) => [getWireId(identity), identity]),
  );
  for (const record of digest.records) {
    const identity = identities.get(record.wireId);
    identities.delete(record.wireId);
    const result = identity === undefined
      ? mergeRecord(tables, record, nowMs)
      : mergeDescribed(tables, { identity, record }, nowMs);
    passOn(spreader, record.wireId, result);
  }
  for (const identity of identities.values()) mergeIdentity(tables, identity);
  for (const load of digest.loads) {
    passOn(spreader, load.wireId, mergeLoad(tables, load, nowMs));
  }
  if (!digest.wanted.includes(tables.self.record.wireId)) return [];
  const sender = tables.members.get(digest.sender);
  return sender === undefined ? [] : answerQuestion(spreader, sender, nowMs);
}

/** Has what was news to this process passed on to others. */
export function passOn(
  spreader: Spreader,
  wireId: number,
  result: MergeResult,
): void {
  if (result === "known") return;
  const member = spreader.tables.members.get(wireId);
  if (member === undefined) return;
  setPending(spreader, member, { origin: "received", urgency: result });
}

function answerQuestion(
  spreader: Spreader,
  sender: MemberRow,
  nowMs: number,
): SendDigest[] {
  const { budget, tables } = spreader;
  const bytes = encodeDigest({
    ...createDigest(spreader),
    records: [getOwnRecord(spreader, nowMs)],
    identities: [tables.self.identity],
  });
  if (!canSpend(budget, bytes.length)) return [];
  spendBudget(budget, { tables, sizeBytes: bytes.length });
  return [{ type: "send-digest", peer: sender, bytes }];
}
