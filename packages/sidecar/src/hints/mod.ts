/** Where chats are held that this runner or its pool serves. */
export * from "./chat_locator.ts";
