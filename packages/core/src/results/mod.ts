/** Result codes, errors that carry them, and invariants. */
export * from "./assert.ts";
export * from "./codes.ts";
export * from "./errors.ts";
export * from "./table.ts";
