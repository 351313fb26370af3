/** The operators' declaration: schema, parsing and effective settings. */
export * from "./documents.ts";
export * from "./faults.ts";
export * from "./parse.ts";
export * from "./resolve.ts";
export * from "./schema.ts";
export * from "./validation.ts";
