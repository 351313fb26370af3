import { canSpend, spendBudget } from "./budget.ts";
import { encodeDigest } from "./codec.ts";
import {
  createDigest,
  type GossipState,
  type SendDigest,
} from "./gossip_state.ts";
import { getOwnRecord } from "./own_record.ts";
import type { MemberRow, MembershipTables } from "./tables.ts";

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
 * whose identity is outdated, as far as the byte budget allows. A request
 * contains this process's own record, so that those it asks when it starts
 * count it at once. Runners of its own pools are asked first.
 */
export function requestUnknownRecords(
  gossip: GossipState,
  nowMs: number,
): SendDigest[] {
  const { budget, tables } = gossip;
  const commands: SendDigest[] = [];
  for (const member of listUnknown(tables)) {
    if (nowMs < getRequestTimeMs(gossip, member, nowMs)) continue;
    const bytes = encodeDigest({
      ...createDigest(gossip),
      records: [getOwnRecord(gossip, nowMs)],
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

/** Lists the members to ask, those that share a pool with this one first. */
function listUnknown(tables: MembershipTables): MemberRow[] {
  const unknown = [...tables.unknown];
  const isPeer = (member: MemberRow) => hasCommonPool(tables.self, member);
  return [
    ...unknown.filter(isPeer),
    ...unknown.filter((member) => !isPeer(member)),
  ];
}

function hasCommonPool(left: MemberRow, right: MemberRow): boolean {
  const pools = right.identity.runner?.pools ?? [];
  return left.identity.runner?.pools.some((pool) => pools.includes(pool)) ??
    false;
}

/**
 * Gets the time of the next request. In large fleets the first one is delayed
 * by a hash, so that many processes do not query a member at the same time,
 * except that the runners of the own pools are asked immediately.
 */
function getRequestTimeMs(
  gossip: GossipState,
  member: MemberRow,
  nowMs: number,
): number {
  const { members, self } = gossip.tables;
  if (
    member.nextRequestAtMs === 0 && members.size > maxMembersWithoutDelay &&
    !hasCommonPool(self, member)
  ) {
    const hash = (self.record.wireId ^ member.record.wireId) >>> 0;
    member.nextRequestAtMs = nowMs + hash % maxFirstDelayMs;
  }
  return member.nextRequestAtMs;
}
