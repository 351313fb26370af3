/** Shows the ledger and resolves unknown outcomes of money calls. */
export * from "./list_unknown.ts";
export * from "./load_shard.ts";
export * from "./resolve_entry.ts";
export * from "./show_entry.ts";
