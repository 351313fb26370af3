/** Measurements in virtual time of the gossip of digests. */
export * from "./digest_fleet.ts";
export * from "./measure.ts";
export * from "./summary.ts";
