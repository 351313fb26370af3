/** Handling of callers' requests: attempts at runners, retries, relaying. */
export * from "./attempt.ts";
export * from "./caller_answer.ts";
export * from "./decide_next.ts";
export * from "./event_splitter.ts";
export * from "./exchange.ts";
export * from "./explain_request.ts";
export * from "./forwarded_headers.ts";
export * from "./serve_request.ts";
export * from "./stream_relay.ts";
