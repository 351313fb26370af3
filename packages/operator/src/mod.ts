/** The operators' command line. */
export * from "./commands/mod.ts";
export * from "./drain/mod.ts";
