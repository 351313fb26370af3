/** Load scenarios, which are written in JSON with comments. */
export * from "./schema.ts";
export * from "./targets.ts";
