/** Calls to services, as opposed to chats with models. */
export * from "./handle_service.ts";
