/** The operators' declaration: schema, validation and effective settings. */
export * from "./documents.ts";
export * from "./faults.ts";
export * from "./accepted.ts";
export * from "./accepted_version.ts";
export * from "./compare.ts";
export * from "./json.ts";
export * from "./parse.ts";
export * from "./parts.ts";
export * from "./resolve.ts";
export * from "./schema.ts";
export * from "./validation.ts";
export * from "./resolve_request.ts";
