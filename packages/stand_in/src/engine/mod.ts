/** Stand-in for a model engine. */
export * from "./chat_answer.ts";
export * from "./engine.ts";
export * from "./engine_driver.ts";
export * from "./faults.ts";
export * from "./model/mod.ts";
