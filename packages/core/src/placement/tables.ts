import type { EngineRole, LoadedModel } from "../membership/mod.ts";
import type { RunnerId } from "../tables/mod.ts";

/** A model as the operators declare it. */
export type ModelSpec = {
  name: string;
  version: string;
  adapters: string[];
  /** Minimum number of runners that keep the model when others are moved. */
  minimumRunners: number;
  weightBytes: number;
  /** Share of the runners that only prefill; 0 makes all of them mixed. */
  prefillShare: number;
};

/** State of a runner for placement decisions. */
export type PlacementRunner = {
  id: RunnerId;
  failureDomain: string;
  /** Whether the runner is live, not leaving and not held down. */
  isUsable: boolean;
  capacity: number;
  loadTokens: number;
  models: LoadedModel[];
  role: EngineRole;
  /** Last time at which a decision assigned it another model. */
  movedAtMs: number;
  /** Ordered load of a model that the runner has not yet reported. */
  pendingLoad: { model: string; version: string; atMs: number } | undefined;
  /** Model to unload once the ordered one is ready. */
  replacedModel: string | undefined;
};

/** Smoothed load of a model, and since when it has been hot or cold. */
export type DemandRow = {
  /** Smoothed load in tokens per unit of capacity. */
  tokens: number;
  /** Time of the first sample, which is overweighted during warm-up. */
  firstSampleAtMs: number;
  hotSinceMs: number | undefined;
  coldSinceMs: number | undefined;
};

/** Limits of placement: the `placement` section of the settings. */
export type PlacementLimits = {
  /** Rate at which weights may be fetched from the weight store. */
  weightBytesPerSecond: number;
  /** Time for which a runner keeps an assigned model before demand moves it. */
  dwellMs: number;
  /** Time for which a model must be hot or cold before a runner moves. */
  demandWindowMs: number;
  /** A model is hot above this multiple of the fleet's mean load. */
  hotRatio: number;
  /** A model is cold below this multiple of the fleet's mean load. */
  coldRatio: number;
};

/** State of the placement decisions. */
export type PlacementTables = {
  models: ModelSpec[];
  runners: Map<RunnerId, PlacementRunner>;
  demand: Map<string, DemandRow>;
  limits: PlacementLimits;
  /** Bytes of weights that may be fetched now: the tokens of a bucket. */
  allowanceBytes: number;
  updatedAtMs: number;
};

/** Creates the tables of a new holder, without runners. */
export function createPlacementTables(options: {
  models: ModelSpec[];
  limits: PlacementLimits;
  nowMs: number;
}): PlacementTables {
  return {
    models: options.models,
    limits: options.limits,
    runners: new Map(),
    demand: new Map(),
    allowanceBytes: 0,
    updatedAtMs: options.nowMs,
  };
}

/** Finds a loaded model of a runner, unless it is being replaced. */
export function findModel(
  runner: PlacementRunner,
  model: string,
): LoadedModel | undefined {
  if (runner.replacedModel === model) return undefined;
  return runner.models.find(({ name }) => name === model);
}

/** Lists the usable runners that serve a model or were ordered to load it. */
export function listAssigned(
  tables: PlacementTables,
  model: string,
): PlacementRunner[] {
  return [...tables.runners.values()].filter((runner) =>
    runner.isUsable && (runner.pendingLoad?.model === model ||
      findModel(runner, model) !== undefined)
  );
}

/** Lists the usable runners on which a model is ready and none is loading. */
export function listReady(
  tables: PlacementTables,
  model: string,
): PlacementRunner[] {
  return listAssigned(tables, model).filter((runner) =>
    runner.pendingLoad === undefined &&
    findModel(runner, model)?.isReady === true
  );
}

/** Applies the list of loaded models that a runner reports. */
export function applyModelReport(
  runner: PlacementRunner,
  models: LoadedModel[],
): void {
  runner.models = models;
  const { pendingLoad } = runner;
  if (pendingLoad === undefined) return;
  const loaded = models.find(({ name }) => name === pendingLoad.model);
  if (loaded?.isReady === true && loaded.version === pendingLoad.version) {
    runner.pendingLoad = undefined;
  }
}
