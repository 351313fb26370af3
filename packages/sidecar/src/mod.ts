/** The sidecar, a process that proxies the requests to one runner. */
export * from "./settings.ts";
export * from "./sidecar.ts";
export type { SidecarOptions } from "./state.ts";
