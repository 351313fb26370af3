import type { RunnerOrder } from "../leases/mod.ts";
import type { RunnerId } from "../tables/mod.ts";
import { getCapacity, updateDemand } from "./demand.ts";
import { chooseReceiver, chooseRunner } from "./choose_runner.ts";
import {
  findModel,
  listAssigned,
  listReady,
  type ModelIntent,
  type PlacementRunner,
  type PlacementTables,
} from "./tables.ts";

/** Asks the shell to give an order to a runner. */
export type PlacementCommand = {
  type: "order-runner";
  runner: RunnerId;
  order: RunnerOrder;
};

/** An order that no report confirmed is given again after this time. */
const orderTimeoutMs = 120_000;

/** Share of a model's runners that change their version at once. */
const updateShare = 0.1;

/** Longest burst of weights, in seconds of the store's rate. */
const burstSeconds = 60;

/**
 * Decides which runner serves which model, adapter, version and role. Missing
 * runners come first, then new versions and adapters, then demand. At most
 * one runner moves to each model at a time, so that the next decision sees
 * what the last one did.
 */
export function decidePlacement(
  tables: PlacementTables,
  nowMs: number,
): PlacementCommand[] {
  updateAllowance(tables, nowMs);
  updateDemand(tables, nowMs);
  tables.updatedAtMs = nowMs;
  expireOrders(tables, nowMs);
  return [
    ...unloadLeft(tables),
    ...assignMissing(tables, nowMs),
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

function expireOrders(tables: PlacementTables, nowMs: number): void {
  for (const runner of tables.runners.values()) {
    if (runner.ordered === undefined) continue;
    if (nowMs - runner.ordered.atMs < orderTimeoutMs) continue;
    runner.ordered = undefined;
    runner.leavingModel = undefined;
  }
}

/** Drops the models of runners that have loaded another instead. */
function unloadLeft(tables: PlacementTables): PlacementCommand[] {
  const commands: PlacementCommand[] = [];
  for (const runner of tables.runners.values()) {
    const { id, leavingModel: model, models, ordered } = runner;
    if (model === undefined || ordered !== undefined) continue;
    if (!models.some(({ name }) => name === model)) {
      runner.leavingModel = undefined;
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

/** Brings models that have too few runners to their minimum. */
function assignMissing(
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

/** Replaces old versions, a few runners at a time. */
function updateVersions(
  tables: PlacementTables,
  nowMs: number,
): PlacementCommand[] {
  const commands: PlacementCommand[] = [];
  for (const model of tables.models) {
    const runners = listAssigned(tables, model.name);
    const changing = runners.filter((row) => row.ordered !== undefined);
    let free = Math.max(1, Math.floor(runners.length * updateShare)) -
      changing.length;
    for (const runner of listReady(tables, model.name)) {
      if (free <= 0 || tables.allowanceBytes < model.weightBytes) break;
      if (findModel(runner, model.name)?.version === model.version) continue;
      if (!canSpare(tables, model)) break;
      commands.push(orderModel(tables, { runner, model, nowMs }));
      free -= 1;
    }
  }
  return commands;
}

/** A model with one runner has to do without it while it reloads. */
function canSpare(tables: PlacementTables, model: ModelIntent): boolean {
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

/** Moves a runner from the coldest model to the hottest. */
function moveByDemand(
  tables: PlacementTables,
  nowMs: number,
): PlacementCommand[] {
  const model = chooseReceiver(tables, nowMs);
  if (model === undefined) return [];
  if (tables.allowanceBytes < model.weightBytes) return [];
  const isWaiting = listAssigned(tables, model.name).some((runner) =>
    runner.ordered !== undefined
  );
  if (isWaiting) return [];
  const runner = chooseRunner(tables, model, { nowMs });
  return runner === undefined
    ? []
    : [orderModel(tables, { runner, model, nowMs })];
}

/** Splits the runners of a model into those that prefill and decode. */
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
  move: { runner: PlacementRunner; model: ModelIntent; nowMs: number },
): PlacementCommand {
  const { model, nowMs, runner } = move;
  const { name, version } = model;
  if (findModel(runner, name) === undefined) {
    runner.movedAtMs = nowMs;
    runner.leavingModel = runner.models.at(0)?.name;
  }
  runner.ordered = { model: name, version, atMs: nowMs };
  tables.allowanceBytes -= model.weightBytes;
  return {
    type: "order-runner",
    runner: runner.id,
    order: { type: "load-model", model: name, version },
  };
}

/** What placement tells of a model. */
export type ModelStatus = {
  model: string;
  version: string;
  minimumRunners: number;
  ready: number;
  loading: number;
  capacity: number;
};

/** Gets the status that is written back to the platform. */
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
