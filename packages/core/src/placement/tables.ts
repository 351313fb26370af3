import type { EngineRole, LoadedModel } from "../membership/mod.ts";
import type { RunnerId } from "../tables/mod.ts";

/** What is declared of a model. */
export type ModelIntent = {
  name: string;
  version: string;
  adapters: string[];
  /** Runners below which the model never goes by a decision. */
  minimumRunners: number;
  weightBytes: number;
  /** Share of the runners that only prefill; 0 makes all of them mixed. */
  prefillShare: number;
};

/** A runner as placement sees it. */
export type PlacementRunner = {
  id: RunnerId;
  failureDomain: string;
  /** Whether it is live, not leaving and not held down. */
  isUsable: boolean;
  capacity: number;
  loadTokens: number;
  models: LoadedModel[];
  role: EngineRole;
  /** Last time at which a decision gave it another model. */
  movedAtMs: number;
  /** Model that it was ordered to load and does not yet report. */
  ordered: { model: string; version: string; atMs: number } | undefined;
  /** Model that it gives up once the ordered one is ready. */
  leavingModel: string | undefined;
};

/** How long a model has been far above or below the mean. */
export type DemandRow = {
  /** Smoothed load for a capacity of 1. */
  tokens: number;
  /** Time of the first sample, which weighs too much for a while. */
  beganAtMs: number;
  hotSinceMs: number | undefined;
  coldSinceMs: number | undefined;
};

/** Limits of placement; the `placement` section of settings. */
export type PlacementLimits = {
  weightBytesPerSecond: number;
  /** Time for which a runner keeps a model that it was given. */
  dwellMs: number;
  /** Time for which a model has to be hot or cold before a move. */
  demandWindowMs: number;
  /** A model is hot above this multiple of the fleet's mean. */
  hotRatio: number;
  /** A model is cold below this multiple of the fleet's mean. */
  coldRatio: number;
};

/** Everything that placement decisions read and write. */
export type PlacementTables = {
  models: ModelIntent[];
  runners: Map<RunnerId, PlacementRunner>;
  demand: Map<string, DemandRow>;
  limits: PlacementLimits;
  /** Bytes of weights that may be fetched now. */
  allowanceBytes: number;
  updatedAtMs: number;
};

/** Creates the tables of a holder that knows no runner yet. */
export function createPlacementTables(options: {
  models: ModelIntent[];
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

/** Finds a model that a runner has loaded and keeps. */
export function findModel(
  runner: PlacementRunner,
  model: string,
): LoadedModel | undefined {
  if (runner.leavingModel === model) return undefined;
  return runner.models.find(({ name }) => name === model);
}

/** Lists the usable runners that serve or will serve a model. */
export function listAssigned(
  tables: PlacementTables,
  model: string,
): PlacementRunner[] {
  return [...tables.runners.values()].filter((runner) =>
    runner.isUsable && (runner.ordered?.model === model ||
      findModel(runner, model) !== undefined)
  );
}

/** Lists the usable runners that serve a model now. */
export function listReady(
  tables: PlacementTables,
  model: string,
): PlacementRunner[] {
  return listAssigned(tables, model).filter((runner) =>
    runner.ordered === undefined && findModel(runner, model)?.isReady === true
  );
}

/** Takes in what a runner reports to have loaded. */
export function updateReport(
  runner: PlacementRunner,
  models: LoadedModel[],
): void {
  runner.models = models;
  const { ordered } = runner;
  if (ordered === undefined) return;
  const loaded = models.find(({ name }) => name === ordered.model);
  if (loaded?.isReady === true && loaded.version === ordered.version) {
    runner.ordered = undefined;
  }
}
