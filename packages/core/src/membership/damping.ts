import type { FlapRow, MemberRow, MembershipTables } from "./tables.ts";

/** Growth of the hold-down from one flap to the next. */
const holdDownGrowth = 2;

/**
 * Records that a runner went away, or came back under a new epoch. Each flap
 * in a row doubles the time for which the runner gets no new work while
 * others can take it.
 */
export function recordFlap(
  tables: MembershipTables,
  member: MemberRow,
  nowMs: number,
): void {
  const id = member.identity.runner?.id;
  if (id === undefined) return;
  const { holdDownMs, maximumHoldDownMs } = tables.limits;
  const row = getFlapRow(tables, id);
  const isQuiet = nowMs - row.lastFlapAtMs > maximumHoldDownMs;
  row.flaps = isQuiet ? 1 : row.flaps + 1;
  row.lastFlapAtMs = nowMs;
  const heldMs = holdDownMs * holdDownGrowth ** (row.flaps - 1);
  row.heldUntilMs = nowMs + Math.min(maximumHoldDownMs, heldMs);
}

/**
 * Records that a runner did not answer this process. Failures of requests
 * that were under way together count as one.
 */
export function recordFailure(
  tables: MembershipTables,
  member: MemberRow,
  nowMs: number,
): void {
  const id = member.identity.runner?.id;
  if (id === undefined || isHeldDown(tables, id, nowMs)) return;
  recordFlap(tables, member, nowMs);
}

/** Says whether a runner is held back after it came and went. */
export function isHeldDown(
  tables: Pick<MembershipTables, "flaps">,
  runner: string,
  nowMs: number,
): boolean {
  return nowMs < (tables.flaps.get(runner)?.heldUntilMs ?? 0);
}

/** Forgets runners that have not flapped for long. */
export function expireFlaps(tables: MembershipTables, nowMs: number): void {
  const { maximumHoldDownMs } = tables.limits;
  for (const [id, row] of tables.flaps.entries()) {
    if (nowMs - row.lastFlapAtMs > 2 * maximumHoldDownMs) {
      tables.flaps.delete(id);
    }
  }
}

function getFlapRow(tables: MembershipTables, id: string): FlapRow {
  const known = tables.flaps.get(id);
  if (known !== undefined) return known;
  const row = {
    flaps: 0,
    lastFlapAtMs: Number.NEGATIVE_INFINITY,
    heldUntilMs: 0,
  };
  tables.flaps.set(id, row);
  return row;
}
