/** Buffers answers of the runner, so that readers can resume them. */
export * from "./answer_buffer.ts";
export * from "./send_answer.ts";
