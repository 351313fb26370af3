/** Measures how digests spread. */
export * from "./digest_fleet.ts";
export * from "./measure.ts";
export * from "./summary.ts";
