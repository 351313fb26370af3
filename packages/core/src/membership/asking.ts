import { canSpend, spendBudget } from "./budget.ts";
import { encodeDigest } from "./codec.ts";
import { createDigest, type SendDigest, type Spreader } from "./spreader.ts";
import type { MemberRow } from "./tables.ts";

/** A record that did not come is asked for again after this time. */
const askPeriodMs = 1000;

/** Members up to which an unknown record is asked for without a delay. */
const promptMembers = 48;

/** In larger fleets the record mostly arrives unasked within this time. */
const patienceMs = 5000;

/** Asks members of unknown epoch for their record, as the budget allows. */
export function askUnknown(spreader: Spreader, nowMs: number): SendDigest[] {
  const { budget, tables } = spreader;
  const commands: SendDigest[] = [];
  for (const member of tables.unknown) {
    if (nowMs < getAskTimeMs(spreader, member, nowMs)) continue;
    const bytes = encodeDigest({
      ...createDigest(spreader),
      wanted: [member.record.wireId],
      identities: [tables.self.identity],
    });
    if (!canSpend(budget, bytes.length)) break;
    member.askAtMs = nowMs + askPeriodMs;
    spendBudget(budget, { tables, sizeBytes: bytes.length });
    commands.push({ type: "send-digest", peer: member, bytes });
  }
  return commands;
}

/** Spreads the first questions of many processes over some seconds. */
function getAskTimeMs(
  spreader: Spreader,
  member: MemberRow,
  nowMs: number,
): number {
  const { members, self } = spreader.tables;
  if (member.askAtMs === 0 && members.size > promptMembers) {
    const spreadMs = (self.record.wireId ^ member.record.wireId) >>> 0;
    member.askAtMs = nowMs + spreadMs % patienceMs;
  }
  return member.askAtMs;
}
