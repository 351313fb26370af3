/** What the fleet adds to a request to a runner. */
export * from "./measure_overhead.ts";
export * from "./paths.ts";
