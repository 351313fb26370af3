/** Money calls at a sidecar: the shards that it owns, and their journals. */
export * from "./handle_call.ts";
export * from "./ledger.ts";
export * from "./ledger_settings.ts";
