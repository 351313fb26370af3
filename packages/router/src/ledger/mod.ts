/** Money calls: how a router finds the owner of a key's ledger shard. */
export * from "./handle_money_call.ts";
export * from "./ledger_shard_cache.ts";
