/** Randomised runs of money calls through the ledger's decision code. */
export * from "./money_run.ts";
export * from "./report.ts";
