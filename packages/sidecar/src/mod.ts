/** The process beside one runner. */
export * from "./settings.ts";
export * from "./sidecar.ts";
export type { SidecarOptions } from "./state.ts";
