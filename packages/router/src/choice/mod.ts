/** Views of the pools, and the choice of runners from these views. */
export * from "./chat_choice.ts";
export * from "./pool_views.ts";
