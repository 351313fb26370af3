/** Identifiers, runner rows and the table type of the decision code. */
export * from "./ids.ts";
export * from "./runner.ts";
export * from "./table.ts";
