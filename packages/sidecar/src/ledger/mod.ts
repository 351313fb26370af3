/**
 * Handles money calls, which take effect at most once for each idempotency key:
 * the ledger shards that this sidecar owns, and their journals.
 */
export * from "./handle_call.ts";
export * from "./ledger.ts";
export * from "./ledger_settings.ts";
