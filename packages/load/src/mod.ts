/** Runs of load against a fleet, and their scenarios. */
export * from "./run/mod.ts";
export * from "./scenario/mod.ts";
