/** Tracks which runners hold the caches of chats. */
export * from "./chat_locator.ts";
