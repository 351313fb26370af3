/** Attempts of a router at the runners. */
export * from "./attempt.ts";
export * from "./connections.ts";
export * from "./dispatch_request.ts";
export * from "./hedge_request.ts";
export * from "./open_answer.ts";
export * from "./pool_state.ts";
export * from "./read_answer.ts";
