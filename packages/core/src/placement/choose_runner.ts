import { getCapacity, getFleetMean } from "./demand.ts";
import {
  listAssigned,
  listReady,
  type ModelSpec,
  type PlacementRunner,
  type PlacementTables,
} from "./tables.ts";

/**
 * Chooses the model that should receive a runner: the one with the highest
 * load among those that have been hot for the whole demand window.
 */
export function chooseReceiver(
  tables: PlacementTables,
  nowMs: number,
): ModelSpec | undefined {
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
 * Chooses a runner for a model: one without a declared model, otherwise one of
 * the least loaded model that can donate it. Prefers the failure domain in
 * which the receiver has the fewest runners.
 *
 * @param options given for moves by demand, for which the donor must be cold
 * and the runner must have kept its model for the dwell time.
 */
export function chooseRunner(
  tables: PlacementTables,
  receiver: ModelSpec,
  options?: { nowMs: number },
): PlacementRunner | undefined {
  const free = listUnassigned(tables);
  if (free.length > 0) return chooseFromLeastUsedDomain(tables, receiver, free);
  const donors = tables.models
    .filter((donor) => donor !== receiver && canDonate(tables, donor, options))
    .sort((left, right) => getTokens(tables, left) - getTokens(tables, right));
  for (const donor of donors) {
    // A runner with several models is skipped: operators assigned its models.
    const runners = listReady(tables, donor.name).filter((runner) =>
      runner.models.length === 1 && (options === undefined ||
        options.nowMs - runner.movedAtMs >= tables.limits.dwellMs)
    );
    if (runners.length > 0) {
      return chooseFromLeastUsedDomain(tables, receiver, runners);
    }
  }
  return undefined;
}

function listUnassigned(tables: PlacementTables): PlacementRunner[] {
  const declared = new Set(tables.models.map(({ name }) => name));
  return [...tables.runners.values()].filter((runner) => {
    return runner.isUsable && runner.pendingLoad === undefined &&
      !runner.models.some(({ name }) => declared.has(name));
  });
}

function canDonate(
  tables: PlacementTables,
  donor: ModelSpec,
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
    getTokensWithoutRunner(tables, donor) < getFleetMean(tables);
}

/** Load per unit of capacity of the donor with one runner fewer. */
function getTokensWithoutRunner(
  tables: PlacementTables,
  donor: ModelSpec,
): number {
  const capacity = getCapacity(tables, donor.name);
  const runners = listAssigned(tables, donor.name).length;
  const remaining = capacity - capacity / Math.max(1, runners);
  if (remaining <= 0) return Number.POSITIVE_INFINITY;
  return getTokens(tables, donor) * capacity / remaining;
}

function chooseFromLeastUsedDomain(
  tables: PlacementTables,
  receiver: ModelSpec,
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

function getTokens(tables: PlacementTables, model: ModelSpec): number {
  return tables.demand.get(model.name)?.tokens ?? 0;
}
