/** Choice of the runner for each request. */
export * from "./chat_key.ts";
export * from "./rank.ts";
