/** Result codes, errors with result codes, and invariants. */
export * from "./assert.ts";
export * from "./codes.ts";
export * from "./errors.ts";
export * from "./table.ts";
