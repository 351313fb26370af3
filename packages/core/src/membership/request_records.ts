import { canSpend, spendBudget } from "./budget.ts";
import { encodeDigest } from "./codec.ts";
import {
  createDigest,
  type GossipState,
  type SendDigest,
} from "./gossip_state.ts";
import type { MemberRow } from "./tables.ts";

/** Time after which a record that has not arrived is requested again. */
const retryPeriodMs = 1000;

/** Largest fleet in which the first request is sent without a delay. */
const maxMembersWithoutDelay = 48;

/**
 * Upper bound of the delay of the first request in larger fleets. Within it,
 * most records arrive by gossip without a request.
 */
const maxFirstDelayMs = 5000;

/**
 * Requests the full record and identity of members whose epoch is unknown or
 * whose identity is outdated, as far as the byte budget allows.
 */
export function requestUnknownRecords(
  gossip: GossipState,
  nowMs: number,
): SendDigest[] {
  const { budget, tables } = gossip;
  const commands: SendDigest[] = [];
  for (const member of tables.unknown) {
    if (nowMs < getRequestTimeMs(gossip, member, nowMs)) continue;
    const bytes = encodeDigest({
      ...createDigest(gossip),
      wanted: [member.record.wireId],
      identities: [tables.self.identity],
    });
    if (!canSpend(budget, bytes.length)) break;
    member.nextRequestAtMs = nowMs + retryPeriodMs;
    spendBudget(budget, { tables, sizeBytes: bytes.length });
    commands.push({ type: "send-digest", peer: member, bytes });
  }
  return commands;
}

/**
 * Gets the time of the next request. In large fleets the first one is delayed
 * by a hash, so that many processes do not query a member at the same time.
 */
function getRequestTimeMs(
  gossip: GossipState,
  member: MemberRow,
  nowMs: number,
): number {
  const { members, self } = gossip.tables;
  if (member.nextRequestAtMs === 0 && members.size > maxMembersWithoutDelay) {
    const hash = (self.record.wireId ^ member.record.wireId) >>> 0;
    member.nextRequestAtMs = nowMs + hash % maxFirstDelayMs;
  }
  return member.nextRequestAtMs;
}
