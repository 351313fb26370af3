/** Measurement of routing policies in virtual time. */
export * from "./collector.ts";
export * from "./policies.ts";
export * from "./report.ts";
export * from "./run_experiment.ts";
export * from "./scenario.ts";
