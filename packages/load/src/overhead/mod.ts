/** Measures the fleet's overhead on requests to a runner. */
export * from "./measure_overhead.ts";
export * from "./paths.ts";
