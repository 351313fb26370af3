/** Differences between two declarations. */
export * from "./compare.ts";
export * from "./format_changes.ts";
