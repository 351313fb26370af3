/** Chat completions and the list of models. */
export * from "./handle_chat.ts";
