/** Views of the pools and the choice of runners from them. */
export * from "./chat_choice.ts";
export * from "./pool_views.ts";
