/** A whole fleet in one process, for experiments and tests. */
export * from "./load_fleet.ts";
export * from "./local_fleet.ts";
