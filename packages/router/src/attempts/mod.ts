/** Attempts: how a router sends a request to runners and reads the answer. */
export * from "./attempt.ts";
export * from "./connections.ts";
export * from "./dispatch_request.ts";
export * from "./hedge_request.ts";
export * from "./open_answer.ts";
export * from "./pool_state.ts";
export * from "./read_answer.ts";
