/** Decisions of the ledger: calls that take effect at most once. */
export * from "./codec.ts";
export * from "./journal.ts";
export * from "./key.ts";
export * from "./messages.ts";
export * from "./objects.ts";
export * from "./owner_search.ts";
export * from "./shard.ts";
export * from "./shard_state.ts";
