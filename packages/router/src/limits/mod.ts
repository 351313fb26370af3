/** Limits of workspaces at one router. */
export * from "./workspace_limiter.ts";
