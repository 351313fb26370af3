/** Runs a scenario against a fleet. */
export * from "./configuration_sampler.ts";
export * from "./load_run.ts";
export * from "./load_stats.ts";
