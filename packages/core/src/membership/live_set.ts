import type { RunnerRow } from "../tables/mod.ts";
import { isHeldDown } from "./damping.ts";
import { mergeIdentity, setLeaving, updateRunner } from "./merge.ts";
import type { MemberIdentity } from "./record.ts";
import type { MemberRow, MembershipTables } from "./tables.ts";

/** Entry of the host list for one process. */
export type ListedMember = {
  identity: MemberIdentity;
  capacity: number;
  state: "live" | "leaving";
};

/**
 * Applies the host list, which lags behind the actual state. Only a change to
 * "leaving" is applied, not its repetition, so that an outdated list does not
 * mark a runner that came back under a new epoch as leaving.
 *
 * @returns members that are newly leaving and have to be announced to peers.
 */
export function applyHostList(
  tables: MembershipTables,
  listed: ListedMember[],
): MemberRow[] {
  const newlyLeaving: MemberRow[] = [];
  const seen = new Set<MemberRow>();
  for (const entry of listed) {
    const member = mergeIdentity(tables, entry.identity);
    seen.add(member);
    if (member.record.epoch === 0) member.record.capacity = entry.capacity;
    if (applyListedState(tables, member, entry.state)) {
      newlyLeaving.push(member);
    }
  }
  for (const member of tables.members.rows()) {
    member.isListed = seen.has(member);
  }
  return newlyLeaving;
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

/**
 * Removes members that are absent from the host list and whose last record is
 * older than three times the staleness limit.
 */
export function expireMembers(tables: MembershipTables, nowMs: number): void {
  for (const [wireId, member] of tables.members.entries()) {
    if (member === tables.self || member.isListed) continue;
    if (nowMs - member.createdAtMs <= tables.limits.staleAfterMs * 3) continue;
    tables.members.delete(wireId);
    tables.pending.delete(member);
    tables.unknown.delete(member);
    const { runner } = member.identity;
    if (runner !== undefined) tables.runners.delete(runner.id);
  }
}

/** Options for selecting the candidates of a pool. */
export type CandidateOptions = {
  nowMs: number;
  /** Runners that are excluded because an attempt has failed there. */
  tried?: ReadonlySet<string>;
};

/**
 * Gets the runners of a pool that may receive new work: the active ones that
 * are not held down; if there are none, all active ones; if there are none
 * either, the joining ones, whose epoch is not yet known.
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
  const notHeldDown = active.filter((row) =>
    !isHeldDown(tables, row.id, nowMs)
  );
  if (notHeldDown.length > 0) return notHeldDown;
  return active.length > 0 ? active : joining;
}
