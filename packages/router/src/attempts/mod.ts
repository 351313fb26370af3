/** Attempts of a router at the runners. */
export * from "./attempt.ts";
export * from "./connections.ts";
export * from "./dispatch.ts";
export * from "./timeouts.ts";
