import type { RunnerRow } from "../tables/mod.ts";
import { isHeldDown } from "./damping.ts";
import { mergeIdentity, setLeaving, updateRunner } from "./merge.ts";
import type { MemberIdentity } from "./record.ts";
import type { MemberRow, MembershipTables } from "./tables.ts";

/** One process in the host list. */
export type ListedMember = {
  identity: MemberIdentity;
  capacity: number;
  state: "live" | "leaving";
};

/**
 * Applies the host list, which lags. A change to "leaving" counts; its
 * repetition does not, so that a runner that came back under a new epoch is
 * not held to an old list.
 *
 * @returns members whose leaving is news that others have to hear.
 */
export function applyHostList(
  tables: MembershipTables,
  listed: ListedMember[],
): MemberRow[] {
  const news: MemberRow[] = [];
  const seen = new Set<MemberRow>();
  for (const entry of listed) {
    const member = mergeIdentity(tables, entry.identity);
    seen.add(member);
    if (member.record.epoch === 0) member.record.capacity = entry.capacity;
    if (applyListedState(tables, member, entry.state)) news.push(member);
  }
  for (const member of tables.members.rows()) {
    member.isListed = seen.has(member);
  }
  return news;
}

function applyListedState(
  tables: MembershipTables,
  member: MemberRow,
  state: "live" | "leaving",
): boolean {
  const before = member.listedState;
  member.listedState = state;
  const isUnknown = member.record.epoch === 0;
  if (state === "live") {
    if (isUnknown && member.leavingEpoch === 0) {
      member.leavingEpoch = undefined;
    }
    updateRunner(tables, member);
    return false;
  }
  if (before === "leaving") return false;
  setLeaving(tables, member, member.record.epoch);
  return !isUnknown;
}

/** Forgets members that neither the host list nor any digest names. */
export function expireMembers(tables: MembershipTables, nowMs: number): void {
  for (const [wireId, member] of tables.members.entries()) {
    if (member === tables.self || member.isListed) continue;
    if (nowMs - member.madeAtMs <= tables.limits.staleAfterMs * 3) continue;
    tables.members.delete(wireId);
    tables.pending.delete(member);
    tables.unknown.delete(member);
    const { runner } = member.identity;
    if (runner !== undefined) tables.runners.delete(runner.id);
  }
}

/** Which runners of a pool are left to choose from. */
export type CandidateOptions = {
  nowMs: number;
  /** Runners that an attempt has failed at. */
  tried?: ReadonlySet<string>;
};

/**
 * Gets the runners that take new work for a pool: active ones that are not
 * held down; else active ones; else those whose epoch is not yet known.
 */
export function getCandidates(
  tables: Pick<MembershipTables, "runners" | "flaps">,
  pool: string,
  options: CandidateOptions,
): RunnerRow[] {
  const { nowMs, tried } = options;
  const active: RunnerRow[] = [];
  const joining: RunnerRow[] = [];
  for (const runner of tables.runners.rows()) {
    if (!runner.pools.includes(pool) || tried?.has(runner.id)) continue;
    if (runner.state === "active") active.push(runner);
    else if (runner.state === "joining") joining.push(runner);
  }
  const steady = active.filter((row) => !isHeldDown(tables, row.id, nowMs));
  if (steady.length > 0) return steady;
  return active.length > 0 ? active : joining;
}
