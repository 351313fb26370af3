/** Chats with models. */
export * from "./handle_chat.ts";
