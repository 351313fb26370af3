import type { FlapRow, MemberRow, MembershipTables } from "./tables.ts";

/** Factor by which each consecutive flap extends the hold-down. */
const holdDownGrowth = 2;

/**
 * Records that a runner disappeared or came back under a new epoch. Each
 * consecutive flap doubles the hold-down, up to its maximum. A runner that is
 * held down gets no new work while other runners of its pool are available.
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
 * Records that a runner did not answer this process. Failures during a
 * hold-down are ignored, so concurrent requests that fail together count as
 * one flap.
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

/** Checks whether a runner is held down because of flaps. */
export function isHeldDown(
  tables: Pick<MembershipTables, "flaps">,
  runner: string,
  nowMs: number,
): boolean {
  return nowMs < (tables.flaps.get(runner)?.heldUntilMs ?? 0);
}

/** Removes runners whose last flap is older than two maximum hold-downs. */
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
