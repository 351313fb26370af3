/** Attempts at requests, their settlement, and when to retry. */
export * from "./attempt_table.ts";
export * from "./retry.ts";
