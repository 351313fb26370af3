/**
 * Decision logic of the ledger, which makes calls with an idempotency key take
 * effect at most once. The logic is free of I/O: events go in, commands come
 * out.
 */
export * from "./codec.ts";
export * from "./journal.ts";
export * from "./key.ts";
export * from "./messages.ts";
export * from "./objects.ts";
export * from "./owner_search.ts";
export * from "./shard.ts";
export * from "./shard_state.ts";
