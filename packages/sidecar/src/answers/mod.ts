/** Answers of the runner, kept for readers that come back. */
export * from "./answer_buffer.ts";
export * from "./send_answer.ts";
