/** Reads which models the engine beside this sidecar has loaded. */
export * from "./engine_state.ts";
