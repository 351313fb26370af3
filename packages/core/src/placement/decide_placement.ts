import type { RunnerOrder } from "../leases/mod.ts";
import type { RunnerId } from "../tables/mod.ts";
import { getCapacity, updateDemand } from "./demand.ts";
import { chooseReceiver, chooseRunner } from "./choose_runner.ts";
import {
  findModel,
  listAssigned,
  listReady,
  type ModelSpec,
  type PlacementRunner,
  type PlacementTables,
} from "./tables.ts";

/** An order that the caller of `decidePlacement` has to send to a runner. */
export type PlacementCommand = {
  type: "order-runner";
  runner: RunnerId;
  order: RunnerOrder;
};

/** Time after which an order that no report confirmed may be repeated. */
const orderTimeoutMs = 120_000;

/** Largest share of a model's runners that change version concurrently. */
const updateShare = 0.1;

/** Burst limit of weight transfers, in seconds at the store's rate. */
const burstSeconds = 60;

/**
 * Decides which runner serves which model, adapter, version and role. Missing
 * runners are assigned first, then new versions and adapters are loaded, then
 * runners are moved by demand. Moves by demand add at most one runner to a
 * model at a time, so that the next decision sees the effect of the last.
 */
export function decidePlacement(
  tables: PlacementTables,
  nowMs: number,
): PlacementCommand[] {
  updateAllowance(tables, nowMs);
  updateDemand(tables, nowMs);
  tables.updatedAtMs = nowMs;
  expirePendingLoads(tables, nowMs);
  return [
    ...unloadReplaced(tables),
    ...assignMissingRunners(tables, nowMs),
    ...updateVersions(tables, nowMs),
    ...loadAdapters(tables),
    ...moveByDemand(tables, nowMs),
    ...setRoles(tables),
  ];
}

function updateAllowance(tables: PlacementTables, nowMs: number): void {
  const rate = tables.limits.weightBytesPerSecond;
  const gained = rate * (nowMs - tables.updatedAtMs) / 1000;
  const largest = Math.max(0, ...tables.models.map((row) => row.weightBytes));
  const burst = Math.max(rate * burstSeconds, largest);
  tables.allowanceBytes = Math.min(burst, tables.allowanceBytes + gained);
}

function expirePendingLoads(tables: PlacementTables, nowMs: number): void {
  for (const runner of tables.runners.values()) {
    if (runner.pendingLoad === undefined) continue;
    if (nowMs - runner.pendingLoad.atMs < orderTimeoutMs) continue;
    runner.pendingLoad = undefined;
    runner.replacedModel = undefined;
  }
}

/** Unloads models from runners that have loaded another in their place. */
function unloadReplaced(tables: PlacementTables): PlacementCommand[] {
  const commands: PlacementCommand[] = [];
  for (const runner of tables.runners.values()) {
    const { id, models, pendingLoad, replacedModel: model } = runner;
    if (model === undefined || pendingLoad !== undefined) continue;
    if (!models.some(({ name }) => name === model)) {
      runner.replacedModel = undefined;
      continue;
    }
    commands.push({
      type: "order-runner",
      runner: id,
      order: { type: "unload-model", model },
    });
  }
  return commands;
}

/** Assigns runners to models that have fewer than their minimum. */
function assignMissingRunners(
  tables: PlacementTables,
  nowMs: number,
): PlacementCommand[] {
  const commands: PlacementCommand[] = [];
  for (const model of tables.models) {
    let missing = model.minimumRunners -
      listAssigned(tables, model.name).length;
    while (missing > 0 && tables.allowanceBytes >= model.weightBytes) {
      const runner = chooseRunner(tables, model);
      if (runner === undefined) break;
      commands.push(orderModel(tables, { runner, model, nowMs }));
      missing -= 1;
    }
  }
  return commands;
}

/** Loads the declared version on runners with another, a few at a time. */
function updateVersions(
  tables: PlacementTables,
  nowMs: number,
): PlacementCommand[] {
  const commands: PlacementCommand[] = [];
  for (const model of tables.models) {
    const runners = listAssigned(tables, model.name);
    const changing = runners.filter((row) => row.pendingLoad !== undefined);
    let allowed = Math.max(1, Math.floor(runners.length * updateShare)) -
      changing.length;
    for (const runner of listReady(tables, model.name)) {
      if (allowed <= 0 || tables.allowanceBytes < model.weightBytes) break;
      if (findModel(runner, model.name)?.version === model.version) continue;
      if (!canSpare(tables, model)) break;
      commands.push(orderModel(tables, { runner, model, nowMs }));
      allowed -= 1;
    }
  }
  return commands;
}

/**
 * Reports whether a ready runner of a model may reload. A model without runners
 * beyond its minimum is short of one while it reloads; a model with a single
 * runner is unavailable meanwhile.
 */
function canSpare(tables: PlacementTables, model: ModelSpec): boolean {
  const ready = listReady(tables, model.name).length;
  return ready > model.minimumRunners ||
    listAssigned(tables, model.name).length <= model.minimumRunners;
}

function loadAdapters(tables: PlacementTables): PlacementCommand[] {
  return tables.models.flatMap((model) =>
    listReady(tables, model.name).flatMap((runner) =>
      model.adapters
        .filter((adapter) =>
          findModel(runner, model.name)?.adapters.includes(adapter) === false
        )
        .map((adapter): PlacementCommand => ({
          type: "order-runner",
          runner: runner.id,
          order: { type: "load-adapter", model: model.name, adapter },
        }))
    )
  );
}

/** Moves a runner to the hottest model from the coldest. */
function moveByDemand(
  tables: PlacementTables,
  nowMs: number,
): PlacementCommand[] {
  const model = chooseReceiver(tables, nowMs);
  if (model === undefined) return [];
  if (tables.allowanceBytes < model.weightBytes) return [];
  const isLoading = listAssigned(tables, model.name).some((runner) =>
    runner.pendingLoad !== undefined
  );
  if (isLoading) return [];
  const runner = chooseRunner(tables, model, { nowMs });
  return runner === undefined
    ? []
    : [orderModel(tables, { runner, model, nowMs })];
}

/** Divides the runners of each model into prefill and decode runners. */
function setRoles(tables: PlacementTables): PlacementCommand[] {
  const commands: PlacementCommand[] = [];
  for (const model of tables.models) {
    const runners = listReady(tables, model.name)
      .sort((left, right) => left.id < right.id ? -1 : 1);
    const prefill = Math.round(runners.length * model.prefillShare);
    runners.forEach((runner, index) => {
      const split = index < prefill ? "prefill" : "decode";
      const role = prefill === 0 ? "mixed" : split;
      if (runner.role === role) return;
      runner.role = role;
      commands.push({
        type: "order-runner",
        runner: runner.id,
        order: { type: "set-role", role },
      });
    });
  }
  return commands;
}

function orderModel(
  tables: PlacementTables,
  move: { runner: PlacementRunner; model: ModelSpec; nowMs: number },
): PlacementCommand {
  const { model, nowMs, runner } = move;
  const { name, version } = model;
  if (findModel(runner, name) === undefined) {
    runner.movedAtMs = nowMs;
    runner.replacedModel = runner.models.at(0)?.name;
  }
  runner.pendingLoad = { model: name, version, atMs: nowMs };
  tables.allowanceBytes -= model.weightBytes;
  return {
    type: "order-runner",
    runner: runner.id,
    order: { type: "load-model", model: name, version },
  };
}

/** Placement status of one model, as written to the platform. */
export type ModelStatus = {
  model: string;
  version: string;
  minimumRunners: number;
  ready: number;
  loading: number;
  capacity: number;
};

/** Gets the status that is written to the platform. */
export function getPlacementStatus(tables: PlacementTables): ModelStatus[] {
  return tables.models.map((model) => {
    const assigned = listAssigned(tables, model.name).length;
    const ready = listReady(tables, model.name).length;
    return {
      model: model.name,
      version: model.version,
      minimumRunners: model.minimumRunners,
      ready,
      loading: assigned - ready,
      capacity: getCapacity(tables, model.name),
    };
  });
}
