/** Money calls at a router: the way to the owner of a key's shard. */
export * from "./handle_money.ts";
export * from "./ledger_routes.ts";
