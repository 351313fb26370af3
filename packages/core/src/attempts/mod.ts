/** Attempts at requests and their settlement. */
export * from "./attempt_table.ts";
export * from "./repeat.ts";
