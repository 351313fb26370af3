/** Passing answers on to callers. */
export * from "./relay_answer.ts";
