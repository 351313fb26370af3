/** Load scenarios, JSON with comments. */
export * from "./schema.ts";
export * from "./targets.ts";
