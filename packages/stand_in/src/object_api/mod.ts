/** Stand-in for the platform's object API. */
export * from "./object_api.ts";
export * from "./object_store.ts";
export * from "./rate_limiter.ts";
