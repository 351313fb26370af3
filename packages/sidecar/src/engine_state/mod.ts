/** Reads which models this sidecar's engine has loaded. */
export * from "./engine_state.ts";
