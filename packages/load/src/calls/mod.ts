/** Requests as a caller sends them, and what it makes of the answers. */
export * from "./create_call.ts";
export * from "./read_answer.ts";
export * from "./send_call.ts";
