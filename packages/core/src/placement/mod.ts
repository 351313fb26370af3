/** Which runner serves which model, adapter, version and role. */
export * from "./choose_runner.ts";
export * from "./decide_placement.ts";
export * from "./demand.ts";
export * from "./tables.ts";
