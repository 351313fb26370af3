/** Choice of a runner for each chat turn and lookup. */
export * from "./cache_path.ts";
export * from "./chat_hints.ts";
export * from "./chat_key.ts";
export * from "./choose_chat_runner.ts";
export * from "./choose_lookup_runner.ts";
export * from "./hint_owners.ts";
export * from "./hold_down.ts";
export * from "./load_bound.ts";
export * from "./pool_view.ts";
export * from "./prefix_hashes.ts";
export * from "./rank.ts";
