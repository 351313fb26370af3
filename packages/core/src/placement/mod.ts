/** Placement of models, adapters, versions and roles on runners. */
export * from "./choose_runner.ts";
export * from "./decide_placement.ts";
export * from "./demand.ts";
export * from "./tables.ts";
