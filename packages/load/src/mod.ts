/** Load, measurements and histories. */
export * from "./run/mod.ts";
export * from "./scenario/mod.ts";
