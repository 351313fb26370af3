/** The router process: sends requests of callers to the sidecars of runners. */
export * from "./router.ts";
export * from "./settings.ts";
