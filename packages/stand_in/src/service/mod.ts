/** Stand-in for a plain service that moves money. */
export * from "./deposit_ledger.ts";
export * from "./faults.ts";
