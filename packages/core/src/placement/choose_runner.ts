import { getCapacity, getFleetMean } from "./demand.ts";
import {
  listAssigned,
  listReady,
  type ModelIntent,
  type PlacementRunner,
  type PlacementTables,
} from "./tables.ts";

/** Gets the hottest model that has been hot for the demand window. */
export function chooseReceiver(
  tables: PlacementTables,
  nowMs: number,
): ModelIntent | undefined {
  const { demandWindowMs } = tables.limits;
  return tables.models
    .filter(({ name }) => {
      const since = tables.demand.get(name)?.hotSinceMs;
      return since !== undefined && nowMs - since >= demandWindowMs;
    })
    .sort((left, right) => getTokens(tables, right) - getTokens(tables, left))
    .at(0);
}

/**
 * Chooses a runner for a model: one without a declared model, else one of the
 * coldest model that can spare it, from the failure domain in which the
 * receiver has the fewest.
 *
 * @param options given for moves by demand: the donor has to be cold and the
 * runner has to have dwelt.
 */
export function chooseRunner(
  tables: PlacementTables,
  receiver: ModelIntent,
  options?: { nowMs: number },
): PlacementRunner | undefined {
  const free = listFree(tables);
  if (free.length > 0) return preferDomain(tables, receiver, free);
  const donors = tables.models
    .filter((donor) => donor !== receiver && canGive(tables, donor, options))
    .sort((left, right) => getTokens(tables, left) - getTokens(tables, right));
  for (const donor of donors) {
    // A runner of several models was given them by its operators.
    const runners = listReady(tables, donor.name).filter((runner) =>
      runner.models.length === 1 && (options === undefined ||
        options.nowMs - runner.movedAtMs >= tables.limits.dwellMs)
    );
    if (runners.length > 0) return preferDomain(tables, receiver, runners);
  }
  return undefined;
}

function listFree(tables: PlacementTables): PlacementRunner[] {
  const declared = new Set(tables.models.map(({ name }) => name));
  return [...tables.runners.values()].filter((runner) => {
    return runner.isUsable && runner.ordered === undefined &&
      !runner.models.some(({ name }) => declared.has(name));
  });
}

function canGive(
  tables: PlacementTables,
  donor: ModelIntent,
  options: { nowMs: number } | undefined,
): boolean {
  if (listReady(tables, donor.name).length <= donor.minimumRunners) {
    return false;
  }
  if (options === undefined) return true;
  const since = tables.demand.get(donor.name)?.coldSinceMs;
  if (since === undefined) return false;
  const { demandWindowMs } = tables.limits;
  return options.nowMs - since >= demandWindowMs &&
    getTokensWithout(tables, donor) < getFleetMean(tables);
}

/** Load that the donor would have for a capacity of 1 with a runner less. */
function getTokensWithout(
  tables: PlacementTables,
  donor: ModelIntent,
): number {
  const capacity = getCapacity(tables, donor.name);
  const runners = listAssigned(tables, donor.name).length;
  const left = capacity - capacity / Math.max(1, runners);
  if (left <= 0) return Number.POSITIVE_INFINITY;
  return getTokens(tables, donor) * capacity / left;
}

function preferDomain(
  tables: PlacementTables,
  receiver: ModelIntent,
  runners: PlacementRunner[],
): PlacementRunner | undefined {
  const counts = new Map<string, number>();
  for (const { failureDomain } of listAssigned(tables, receiver.name)) {
    counts.set(failureDomain, (counts.get(failureDomain) ?? 0) + 1);
  }
  const getCount = (runner: PlacementRunner) =>
    counts.get(runner.failureDomain) ?? 0;
  return [...runners].sort((left, right) =>
    getCount(left) - getCount(right) || left.loadTokens - right.loadTokens ||
    (left.id < right.id ? -1 : 1)
  ).at(0);
}

function getTokens(tables: PlacementTables, model: ModelIntent): number {
  return tables.demand.get(model.name)?.tokens ?? 0;
}
