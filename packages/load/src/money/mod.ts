/** Randomised runs of money calls over the ledger's decisions. */
export * from "./money_run.ts";
export * from "./report.ts";
