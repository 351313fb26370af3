/** Enforcement of workspace limits at one router. */
export * from "./workspace_limiter.ts";
