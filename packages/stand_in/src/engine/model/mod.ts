/** Simulation of a model engine without I/O; the caller passes the time. */
export * from "./block_cache.ts";
export * from "./blocks.ts";
export * from "./cache_events.ts";
export * from "./engine_model.ts";
export * from "./load_reports.ts";
export * from "./orders.ts";
export * from "./profile.ts";
export * from "./types.ts";
export * from "./weight_store.ts";
