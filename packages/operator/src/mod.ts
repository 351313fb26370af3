/** The operator's program. */
export * from "./commands/mod.ts";
export * from "./drain/mod.ts";
