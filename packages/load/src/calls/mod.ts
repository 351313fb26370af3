/** Requests as a caller sends them, and the parsing of their answers. */
export * from "./create_call.ts";
export * from "./read_answer.ts";
export * from "./send_call.ts";
