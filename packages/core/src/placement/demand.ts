import { listAssigned, type PlacementTables } from "./tables.ts";

/** Number of demand windows after which the first sample has faded. */
const warmUpWindows = 2;

/**
 * Smooths the load of each model over the demand window, and records since
 * when it has been hot or cold relative to the mean of the fleet.
 */
export function updateDemand(tables: PlacementTables, nowMs: number): void {
  const elapsedMs = nowMs - tables.updatedAtMs;
  const share = 1 - Math.exp(-elapsedMs / tables.limits.demandWindowMs);
  for (const { name } of tables.models) {
    const load = getLoad(tables, name);
    const row = tables.demand.get(name);
    if (row === undefined) {
      tables.demand.set(name, {
        tokens: load,
        firstSampleAtMs: nowMs,
        hotSinceMs: undefined,
        coldSinceMs: undefined,
      });
    } else row.tokens += share * (load - row.tokens);
  }
  markHotAndCold(tables, nowMs);
}

/** Gets the mean of the smoothed model loads, weighted by capacity. */
export function getFleetMean(tables: PlacementTables): number {
  let tokens = 0;
  let capacity = 0;
  for (const { name } of tables.models) {
    const own = getCapacity(tables, name);
    tokens += (tables.demand.get(name)?.tokens ?? 0) * own;
    capacity += own;
  }
  return capacity === 0 ? 0 : tokens / capacity;
}

/** Gets the total capacity of the usable runners assigned to a model. */
export function getCapacity(tables: PlacementTables, model: string): number {
  return listAssigned(tables, model)
    .reduce((sum, runner) => sum + runner.capacity, 0);
}

function getLoad(tables: PlacementTables, model: string): number {
  const runners = listAssigned(tables, model);
  const tokens = runners.reduce((sum, runner) => sum + runner.loadTokens, 0);
  const capacity = getCapacity(tables, model);
  return capacity === 0 ? 0 : tokens / capacity;
}

function markHotAndCold(tables: PlacementTables, nowMs: number): void {
  const mean = getFleetMean(tables);
  const { coldRatio, demandWindowMs, hotRatio } = tables.limits;
  for (const row of tables.demand.values()) {
    const ageMs = nowMs - row.firstSampleAtMs;
    if (ageMs < warmUpWindows * demandWindowMs) continue;
    const isHot = mean > 0 && row.tokens > hotRatio * mean;
    const isCold = row.tokens < coldRatio * mean;
    row.hotSinceMs = isHot ? row.hotSinceMs ?? nowMs : undefined;
    row.coldSinceMs = isCold ? row.coldSinceMs ?? nowMs : undefined;
  }
}
