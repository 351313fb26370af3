/** The process between callers and sidecars. */
export * from "./router.ts";
export * from "./settings.ts";
